// The state and the constants of a balancer. Read api.go first: it declares the types of events and actions.
// The files table.go, load.go, ranking.go, slowstart.go, health.go, attempt.go and subset.go hold the policy.
// discovery.go polls. endpoints.go, requests.go, snapshot.go, report.go, settings.go only record or report.

package lbpolicy

import (
	"math/rand/v2"
	"time"
)

// Constants of the policy. None is a measured figure of a deployment. Each is a share, a count of steps, or a
// multiple of a value from the settings or of a value measured at run time.
const (
	restingSlots            = 2    // slots at the full threshold T1: a peak that ends in them sheds no load
	slotsPerLevel           = 5    // steps in which the threshold of one level falls to zero
	restingSpread           = 0.3  // of T1: how much lower the lowest row is in these slots, for bursts
	sheddingThreshold       = 0.95 // T2 over T1: the queue allowed once the load is above its target
	ownLevelThreshold       = 0.6  // of T1, at which a row starts to shed its own level
	thresholdHeadroom       = 2.0  // the least T1, as a multiple of the requests in flight at low load
	maxQueueShare           = 0.75 // of the latency objective: T1 admits requests until they take this long
	periodShare             = 0.2  // of the objective: a step must take effect before the next one
	thresholdOffset         = 4.0  // requests added to T1: with few requests, measured rates are noisy
	targetUtilization       = 0.92
	targetLatencyShare      = 0.6              // of the objective, as some requests take twice the mean
	serverFullWeight        = 2.0              // load added per ratio of attempts that servers reject as full
	minSubsetSize           = 6                // servers
	balancersPerServer      = 2.0              // mean number of balancers that have a server in their subset
	maxRankedServers        = 20               // ranked for one attempt; a larger subset is sampled
	retryBudgetRatio        = 0.15             // retries and hedged requests allowed per request
	maxRetryBudget          = 20.0             // attempts that can be saved up
	unresponsiveMultiple    = 5.0              // of the usual latency, as the summed wait of all requests
	minUnresponsiveWait     = 2.0              // of the usual latency, however many requests are waiting
	expectedLatencyQuantile = 1.0 / 3          // of latency; a request with less time left is rejected
	expectedLatencyStep     = 0.1              // relative change of the expected latency per attempt
	expectedLatencyMemory   = 10 * time.Second // time constant with which it decays between attempts
	minReportedUtilization  = 0.25             // below it, a report says too little about the capacity
	reportedCapacityFactor  = 0.9              // share of the capacity in load reports that is relied on
	firstRequestSpread      = 1.25             // of the overload window: first requests to restored servers
	warmingUpShare          = 0.45             // of the overload multiple, for the requests of all balancers
	panicThreshold          = 0.5              // ratio of ejected servers above which ejection is disregarded
	errorPenalty            = 4.0              // how many times slower a server that always fails is ranked
	maxReportAge            = 2 * time.Second
	smoothingShare          = 0.35 // of the objective: time constant of latency and error averages
	maxEjections            = 4    // in a row, after which the ejection time stops growing
	failureRatio            = 0.5  // of a server's outcomes, above which it may be ejected
	minSamples              = 0.5  // decayed count of outcomes below which the pool's latency is unknown
)

// lowestLevel is the level of retries marked by clients, and of requests above a tenant's quota.
const lowestLevel = 0

type server struct {
	Server
	inFlight          int
	dispatchPending   int     // of these, attempts that wait for something else before dispatch
	latency           float64 // smoothed, in seconds; 0: no response yet
	utilization       float64
	reportedAt        time.Duration
	waitSum           float64       // seconds since the last response, summed over the waiting requests
	unansweredSeconds float64       // since the last response, while at least one request waited
	waitedAt          time.Duration // when both were last updated
	lastResponseAt    time.Duration
	connFailedAt      time.Duration
	lastSentAt        time.Duration
	openConnections   int     // estimated from the recent peak of requests in flight
	errorRatio        float64 // smoothed
	ejected           bool
	ejectedUntil      time.Duration
	ejections         int
	reportedCapacity  float64 // requests per second from all balancers together; 0: unknown
	slowStartBudget   float64 // requests that may be sent now
	budgetFilledAt    time.Duration
	manuallyEjected   bool
	restoredAt        time.Duration // from a manual ejection, as it may have started then; 0: use StartedAt
	firstRequestDue   time.Duration // latest time for a restored server's first request; 0: not due
}

type attempt struct {
	server          *server
	zone            int // of the server when the attempt was sent
	cell            int
	sentAt          time.Duration
	ended           bool
	neverRan        bool
	dispatchPending bool
}

type request struct {
	id          RequestID
	class       *Class           // at the arrival of the request
	expected    *expectedLatency // of the class
	deadline    time.Duration
	checkAt     time.Duration // when the latest attempt is checked
	checkFrom   time.Duration // since when that check measures the wait
	attempts    []attempt
	maxAttempts int
	keyState    KeyState
	done        bool
}

type tenant struct {
	name          string
	quota, tokens float64
}

// Balancer is one balancer instance. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	host     Host
	random   *rand.Rand

	// Cursor table.
	table               [][]float64 // thresholds by level and slot, as a share of T1
	levels              []int       // by class
	levelObjectives     []float64   // shortest objective of each level and those above it, in seconds
	cursor              int
	period              time.Duration
	nextStep            time.Duration
	lastStep            time.Duration
	startedAt           time.Duration
	inFlight            int
	inFlightEjected     int // at ejected servers, without those whose dispatch is pending
	dispatchPending     int // attempts in flight that wait for something other than a server
	completionsInPeriod int // attempts that ended with OK, Error or Timeout
	arrivalsInPeriod    int // without retries marked by clients
	lastArrival         time.Duration
	resumedAt           time.Duration // first request after a pause without requests
	arrivalRate         float64       // per second, smoothed
	totalQuota          float64       // of all tenants, in requests per second
	fastRate            float64       // completions per second, smoothed over 1 s
	slowRate            float64       // completions per second, smoothed over 10 s
	tenants             []tenant
	shedding            bool
	priorityInversion   bool      // this period, a request was rejected while a lower level was admitted
	dropFraction        float64   // of the requests, rejected at any load
	levelArrivals       []float64 // in this period
	levelRates          []float64 // arrivals per second, smoothed

	// Pool load.
	outcomeCount  float64            // decaying
	latencySum    float64            // decaying, in seconds
	fullCount     float64            // decaying
	errorCount    float64            // decaying
	baseLatency   float64            // latency at low load, in seconds
	baseLearned   bool               // baseLatency was measured; until then it is an initial estimate
	expected      []*expectedLatency // by class
	meanObjective float64            // mean latency objective of the classes, in seconds

	servers          map[ServerID]*server
	manuallyEjected  map[ServerID]time.Duration // when each was ejected; also servers that are not listed
	firstRequestsDue int                        // servers with a firstRequestDue, recounted by restoredServer
	listed           []*server                  // ordered by a hash of the ID, whatever the zone and age
	subset           []*server                  // listed servers that this balancer uses
	subsetSize       int
	weightsDiffer    bool    // among the eligible servers
	ejectedCount     int     // in the subset
	totalCapacity    float64 // of the subset, in units of a warmed-up server
	serverCapacity   float64 // requests per second of a warmed-up server, as reported; 0: unknown

	requests    map[RequestID]*request
	retryBudget float64

	connectionsFullAt time.Duration // when a responding server last refused a connection
	pollingStarted    bool
	pollFailures      int
}
