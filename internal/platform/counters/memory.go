package counters

// MemorySnapshot tells what was rejected for want of memory, and how the memory is divided.
type MemorySnapshot struct {
	HeadsRejected  int64 `json:"heads_rejected"`  // requests whose heads had no room
	FieldsRejected int64 `json:"fields_rejected"` // requests whose heads had too many bytes or fields
	BodiesRejected int64 `json:"bodies_rejected"` // requests whose bodies had no room in time
	HeapLimitBytes int64 `json:"heap_limit"`      // at present; a process that is replaced has half of it
	HeapBytes      int64 `json:"heap"`            // that the runtime holds
}
