package soak

import (
	"math/rand/v2"
	"time"
)

// Action is what happens at a step of a day.
type Action string

// Actions on the sidecar's process, one after the other.
const (
	Hangups          Action = "SIGHUP, several within a second"
	HangupTerminate  Action = "SIGHUP just before SIGTERM"
	TerminateTwice   Action = "SIGTERM twice"
	TerminateAtReady Action = "SIGTERM right after readiness"
	Replace          Action = "replaced by a second process beside it"
	ShortPause       Action = "SIGSTOP and SIGCONT after 0.15 s"
	LongPause        Action = "SIGSTOP and SIGCONT after 0.5 s"
)

// Actions on the sidecar's surroundings, beside those on its process.
const (
	EndpointHangs   Action = "an endpoint hangs"
	EndpointFails   Action = "an endpoint answers 500"
	EndpointResets  Action = "an endpoint resets connections"
	EndpointDrains  Action = "an endpoint drains, ends, and comes back cold"
	EndpointStalls  Action = "an endpoint begins its answers and stops"
	EndpointTrickle Action = "an endpoint's answers have no end"
	EndpointInforms Action = "an endpoint sends 1xx responses within uploads"
	EndpointEarly   Action = "an endpoint answers uploads before their end"
	EndpointLumps   Action = "an endpoint writes long answers slowly"
	EndpointStuck   Action = "an endpoint stops reading uploads"
	SlowCrowd       Action = "slow clients"
	DiscoverySlow   Action = "discovery answers slowly"
	DiscoverySilent Action = "discovery is silent"
	DiscoveryMoves  Action = "discovery moves, told by SIGHUP"
	Crowd           Action = "idle clients and newcomers"
)

// Step is an action at a time of the day.
type Step struct {
	At       time.Duration
	Action   Action
	Endpoint int           // of an action on one, or allEndpoints
	Length   time.Duration // of a state that ends
}

// allEndpoints is the Endpoint of a step that changes the answers of all of them.
const allEndpoints = -1

// Day is a schedule. The same seed gives the same one.
type Day struct {
	Seed         uint64
	Length       time.Duration
	Process      []Step // on the sidecar's process; a step that the one before delays follows it
	Surroundings []Step
	Answers      []Step        // on the responses of endpoints
	Uploads      bool          // some requests have large bodies that arrive slowly
	UploadSteps  []Step        // on the responses of endpoints to uploads
	Slow         []Step        // on peers that are slow
	MemoryMB     int64         // of the sidecar; zero: the usual
	ClientsLeave bool          // some clients close their connection before the answer
	MaxDeadline  time.Duration // of all classes
}

// killDelay is the earliest at which SIGKILL may follow SIGTERM.
func (d Day) killDelay() time.Duration { return d.MaxDeadline + killDelay }

const (
	dayLength    = 20 * time.Second
	quietEnd     = 3 * time.Second // at the end of a day nothing new happens
	crowdDivider = 3               // one day in so many has a crowd
)

var (
	processActions  = []Action{Hangups, HangupTerminate, TerminateTwice, TerminateAtReady, Replace, ShortPause, LongPause}
	endpointActions = []Action{EndpointHangs, EndpointFails, EndpointResets, EndpointDrains}
	answerActions   = []Action{EndpointStalls, EndpointTrickle, EndpointHangs}
	uploadActions   = []Action{EndpointInforms, EndpointInforms, EndpointEarly}
	slowActions     = []Action{EndpointLumps, EndpointLumps, EndpointStuck, SlowCrowd}
)

// NewDay draws a day from a seed.
func NewDay(seed uint64) Day {
	random := rand.New(rand.NewPCG(seed, 0))
	d := Day{Seed: seed, Length: dayLength, ClientsLeave: random.IntN(2) == 0, MaxDeadline: usualDeadline}
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	for at := time.Second + upTo(time.Second); at < d.Length-quietEnd; at += 300*time.Millisecond + upTo(2*time.Second) {
		d.Process = append(d.Process, Step{At: at, Action: processActions[random.IntN(len(processActions))]})
	}
	for at := time.Second + upTo(time.Second); at < d.Length-quietEnd; at += 500*time.Millisecond + upTo(3*time.Second) {
		d.Surroundings = append(d.Surroundings, Step{
			At:       at,
			Action:   endpointActions[random.IntN(len(endpointActions))],
			Endpoint: random.IntN(endpointCount),
			Length:   500*time.Millisecond + upTo(2*time.Second),
		})
	}
	discovery := []Action{DiscoverySlow, DiscoverySilent, DiscoveryMoves}[random.IntN(3)]
	d.Surroundings = append(d.Surroundings, Step{At: 2*time.Second + upTo(10*time.Second), Action: discovery, Length: 2*time.Second + upTo(2*time.Second)})
	if seed%crowdDivider == 0 {
		d.Surroundings = append(d.Surroundings, Step{At: 2*time.Second + upTo(8*time.Second), Action: Crowd, Length: 4 * time.Second})
	}
	if random.IntN(2) == 0 {
		d.MaxDeadline = shortDeadline
	}
	for at := time.Second + upTo(2*time.Second); at < d.Length-quietEnd; at += time.Second + upTo(4*time.Second) {
		d.Answers = append(d.Answers, Step{
			At:       at,
			Action:   answerActions[random.IntN(len(answerActions))],
			Endpoint: []int{allEndpoints, random.IntN(endpointCount)}[random.IntN(2)],
			Length:   500*time.Millisecond + upTo(2*time.Second),
		})
	}
	d.Uploads = random.IntN(2) == 0
	for at := time.Second + upTo(2*time.Second); d.Uploads && at < d.Length-quietEnd; at += time.Second + upTo(2*time.Second) {
		d.UploadSteps = append(d.UploadSteps, Step{
			At:       at,
			Action:   uploadActions[random.IntN(len(uploadActions))],
			Endpoint: []int{allEndpoints, random.IntN(endpointCount)}[random.IntN(2)],
			Length:   500*time.Millisecond + upTo(2*time.Second),
		})
	}
	if seed%slowDivider == 1 {
		d.MemoryMB = leastMemoryMB
	}
	for at := time.Second + upTo(2*time.Second); seed%slowDivider == 1 && at < d.Length-quietEnd; at += 500*time.Millisecond + upTo(2*time.Second) {
		d.Slow = append(d.Slow, Step{
			At:       at,
			Action:   slowActions[random.IntN(len(slowActions))],
			Endpoint: []int{allEndpoints, random.IntN(endpointCount)}[random.IntN(2)],
			Length:   500*time.Millisecond + upTo(2*time.Second),
		})
	}
	return d
}

// memoryMB returns the memory limit of the sidecar.
func (d Day) memoryMB() int64 {
	if d.MemoryMB > 0 {
		return d.MemoryMB
	}
	return maxMemoryMB
}
