// The state of a balancer. The types of events and actions are in api.go; read that file first. The policy
// stands in table.go, load.go, ranking.go, slowstart.go, health.go, attempt.go and subset.go. What is only
// recorded or reported stands in endpoints.go, requests.go, snapshot.go, report.go and settings.go.

package lbpolicy

import (
	"math/rand/v2"
	"time"
)

// Constants of the policy. None is a measured figure of a deployment: each is a share, a count of steps, or
// a multiple of something that is read from the settings or measured.
const (
	restingSlots            = 2    // slots of the full threshold T1: a shorter peak sheds nothing
	slotsPerLevel           = 5    // steps in which one level is shed from all requests to none
	restingSpread           = 0.3  // how much lower the lowest row is at rest, for bursts
	sheddingThreshold       = 0.95 // T2 over T1: the queue allowed once the load is over its target
	ownLevelThreshold       = 0.6  // the threshold at which a row's own shedding begins
	thresholdHeadroom       = 2.0  // the least T1 over the quiet load
	maxQueueShare           = 0.75 // T1 admits requests until they take this share of the latency objective
	periodShare             = 0.2  // period over objective: an action must take effect before the next
	minThreshold            = 4.0  // added to T1: with few requests, the rates are mostly chance
	targetUtilization       = 0.92
	targetLatencyShare      = 0.6     // of the objective: some requests take twice the mean
	serverFullWeight        = 2.0     // load added by a ratio of answers that reject as full
	minSubsetSize           = 6       // servers
	balancersPerServer      = 2.0     // that know each server
	maxRankedServers        = 20      // for one attempt in a large tier
	retryBudgetRatio        = 0.15    // further attempts per request
	maxRetryBudget          = 20.0    // attempts that can be saved up
	unresponsiveMultiple    = 5.0     // of the usual latency, waited by all requests together
	minUnresponsiveWait     = 2.0     // and the least wait, however many requests share it
	expectedLatencyQuantile = 1.0 / 3 // a request with less time than this part takes is rejected
	expectedLatencyStep     = 0.1     // by which that time is adjusted
	expectedLatencyMemory   = 10 * time.Second
	minReportedUtilization  = 0.25 // below it a report says too little of a server's capacity
	reportedCapacityFactor   = 0.9  // of a capacity that reports show
	firstRequestWindowMultiple    = 1.25 // of the overload window, for the first requests to a restored server
	warmingUpShare          = 0.45 // of the overload multiple, for the requests of all balancers
	panicThreshold          = 0.5  // with a larger ratio of servers ejected, ejection is disregarded
	errorPenalty            = 4.0  // ranking: how many times slower a server counts that only fails
	maxReportAge            = 2 * time.Second
	smoothingShare          = 0.35 // the time constant of latency and failures over the objective
	maxEjections            = 4    // after which the time of an ejection grows no more
	failureRatio            = 0.5  // of a server's answers, above which it may be ejected
	minSamples              = 0.5  // decayed answers, below which the pool's latency is not known
)

// lowestLevel is the level of retries that clients mark, and of traffic over a tenant's quota.
const lowestLevel = 0

type server struct {
	Server
	inFlight         int
	dispatchPending  int     // of these, attempts that wait for something else before they are sent
	latency          float64 // smoothed, in seconds; 0: no answer yet
	utilization      float64
	reportedAt       time.Duration
	waited           float64 // seconds since the last answer, of all requests together
	unansweredSeconds           float64 // seconds since the last answer, while there were any requests
	waitedAt         time.Duration
	lastResponseAt       time.Duration
	connFailedAt     time.Duration
	lastSentAt       time.Duration
	openConnections      int     // in use at once lately
	errorRatio       float64 // smoothed
	ejected          bool
	ejectedUntil     time.Duration
	ejections        int
	reportedCapacity float64 // requests per second of all balancers together; 0: not known
	slowStartBudget  float64 // requests that may be sent now
	budgetFilledAt   time.Duration
	manuallyEjected  bool
	restoredAt       time.Duration // from a manual ejection: it may have started then; 0: discovery tells
	firstRequestDue     time.Duration // when a restored server gets its first request at the latest; 0: not due
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
	class       *Class           // as it was when the request arrived
	expected    *expectedLatency // of the class
	deadline    time.Duration
	checkAt     time.Duration // when the latest attempt is checked
	checkFrom   time.Duration // when it was checked last, or sent
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
	table             [][]float64 // [level][slot], as a share of T1
	levels            []int       // of each class
	levelObjectives   []float64   // the shortest objective of each level and those above it, in seconds
	cursor            int
	period            time.Duration
	nextStep          time.Duration
	lastStep          time.Duration
	startedAt         time.Duration
	inFlight          int
	inFlightEjected   int // with ejected servers
	dispatchPending   int // held up by something other than the servers
	completionsInPeriod  int
	arrivalsInPeriod   int
	lastArrival       time.Duration
	resumedAt         time.Duration // the first request after a start or a pause
	arrivalRate       float64       // per second, smoothed
	totalQuota        float64       // of all tenants
	fastRate          float64       // answers per second, smoothed over one second
	slowRate          float64       // over ten seconds
	tenants           []tenant
	shedding          bool
	priorityInversion bool      // a request was rejected in this period while a lower level was admitted
	dropFraction      float64   // of the traffic, rejected whatever the load
	levelArrivals     []float64 // in this period
	levelRates        []float64 // per second, smoothed

	// Pool load.
	outcomeCount   float64            // decaying
	latencySum    float64            // decaying, in seconds
	fullCount     float64            // decaying
	errorCount    float64            // decaying
	baseLatency   float64            // in quiet times, in seconds
	baseLearned   bool               // from answers; until then baseLatency is a guess
	expected      []*expectedLatency // of each class
	meanObjective float64            // of the classes, in seconds

	servers         map[ServerID]*server
	manuallyEjected map[ServerID]time.Duration // since when; listed or not
	firstRequestsDue   int
	listed          []*server // ordered by hash, which is independent of zone and age
	subset          []*server // that this balancer uses
	subsetSize      int
	weightsDiffer        bool    // servers of the subset differ in weight
	ejectedCount    int     // in the subset
	totalCapacity   float64 // of the subset, in fully warmed-up servers
	serverCapacity  float64 // requests per second of a warmed-up server, as reported; 0: not known

	requests    map[RequestID]*request
	retryBudget float64

	connectionsFullAt time.Duration // when a server that answers last accepted no connection
	pollingStarted          bool
	pollFailures      int
}
