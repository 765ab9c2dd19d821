// The state of a balancer. The types of events and actions are in api.go; read that file first. The decisions
// stand in table.go, load.go, rank.go, pace.go, health.go, attempt.go and members.go; what is only told and
// kept stands in lists.go, requests.go, carry.go and settings.go.

package lbpolicy

import (
	"math/rand/v2"
	"time"
)

// Constants of the mechanism. None is a measured figure of a deployment: each is a share, a
// count of steps, or a multiple of something that is read from the settings or learnt.
const (
	restingSlots            = 2       // n: slots of T1; a load peak shorter than n·P sheds nothing
	slotsPerLevel           = 5       // steps in which one worth level is shed from all to nothing
	restingSpread           = 0.3     // how much lower the lowest row stands at home: bursts too shed low worth first
	sheddingThreshold       = 0.95    // T2 over T1: the queue allowed once load is over its target
	ownLevelThreshold       = 0.6     // and where a row's own fall begins
	thresholdHeadroom       = 2.0     // T1 over the calls carried in quiet times, at the least
	maxQueueShare           = 0.75    // T1 lets calls in until they take this share of the aim
	periodShare             = 0.2     // P as a share of the aim: an action must bite before the next step
	minThreshold            = 4.0     // added to T1: a balancer with few calls sees mostly chance
	targetUtilization       = 0.92    // target utilisation
	targetLatencyShare      = 0.6     // target latency, as a share of the aim: some calls take twice the mean
	fullAnswerWeight        = 2.0     // load added by a share of answers refused as full
	minSubsetSize           = 6       // least servers of a subset
	balancersPerServer      = 2.0     // balancers that should know each server
	maxRankedServers        = 20      // servers ranked for one pick on large tiers
	retryBudgetRatio        = 0.15    // further attempts for each request: the retry budget
	unresponsiveMultiple    = 5.0     // times the usual latency that calls have waited, all added up: the server is silent
	minUnresponsiveWait     = 2.0     // and the least wait in the same unit, however many calls share it
	expectedLatencyQuantile = 1.0 / 3 // a call with less time than this part of its class takes is refused
	expectedLatencyStep     = 0.1     // step by which that time is learnt
	expectedLatencyMemory   = 10 * time.Second
	minReportedUtilization  = 0.25 // under it a report tells too little of what a server could do
	reportedCapacityTrust   = 0.9  // of a capacity that reports show
	firstCallWindowShare    = 1.25 // of the fall window: in it all balancers send a server that is back its first call
	warmingUpShare          = 0.45 // of the fall multiple: all balancers' calls to a cold server
	panicThreshold          = 0.5  // more of the pool than this out at once is no matter of outliers
	errorPenalty            = 4.0  // ranking: how many times slower a server that only errs counts
	maxReportAge            = 2 * time.Second
	smoothingShare          = 0.35 // smoothing of latency and failures, as a share of the aim
)

// level of low-worth calls: retries that clients mark, and traffic over a tenant's share.
const lowestLevel = 0

type server struct {
	Server
	inFlight         int
	dispatchPending  int     // of these, attempts that wait for something else before they go out
	latency          float64 // smoothed latency, s; 0: no answer yet
	utilization      float64
	reportedAt       time.Duration
	waited           float64 // since the last answer: seconds waited, of all calls together,
	silent           float64 // and of the clock while there were any
	waitedAt         time.Duration
	answeredAt       time.Duration
	connFailedAt     time.Duration // last connection that failed or broke
	lastSentAt       time.Duration
	connections      int     // connections in use at once lately
	errorRatio       float64 // share of error answers, smoothed
	ejected          bool
	ejectedUntil     time.Duration
	ejections        int
	reportedCapacity float64       // calls a second that it could answer to all balancers, as reported; 0: not known
	slowStartBudget  float64       // while cold: calls that it may have now
	budgetFilledAt   time.Duration // when the budget was last filled; 0: never
	manuallyEjected  bool          // by hand: nothing new
	restoredAt       time.Duration // may have started as late as this; 0: the list tells
	firstCallDue     time.Duration // back from a ban, and no call yet: it may have one by then; 0: it is not
}

type attempt struct {
	server          *server
	zone            int // the server's when it was sent there
	cell            int
	sentAt          time.Duration
	ended           bool
	neverRan        bool
	dispatchPending bool
}

type request struct {
	id          RequestID
	class       *Class           // as it was when the request came
	expected    *expectedLatency // of its class
	deadline    time.Duration
	checkAt     time.Duration // when the newest attempt is to be looked at
	attempts    []attempt
	maxAttempts int // of attempts
	keyState    KeyState
	done        bool
}

type tenant struct {
	name          string
	quota, tokens float64
}

// Balancer decides for one balancer instance. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	host     Host
	random   *rand.Rand

	// Cursor table.
	table              [][]float64 // [level][slot], as a share of T1
	levels             []int       // of each class
	levelObjectives    []float64   // least aim of the classes of each level and over it, s
	cursor             int
	period             time.Duration
	nextStep           time.Duration
	lastStep           time.Duration
	startedAt          time.Duration
	inFlight           int
	inFlightEjected    int // of inFlight, with servers that are out
	dispatchPending    int // of inFlight, held up by something else than their servers
	answeredInPeriod   int // calls answered in this period
	arrivedInPeriod    int // arrivals in this period
	lastArrival        time.Duration
	resumedAt          time.Duration // first call after a start or a pause
	arrivalRate        float64       // arrivals a second, smoothed
	totalQuota         float64       // of all tenants together
	fastRate, slowRate float64       // calls answered a second, smoothed over one and ten seconds
	tenants            []tenant
	shedding           bool
	priorityInversion  bool      // in this period a call was refused while lower worth was let in
	dropFraction       float64   // part of the traffic that is to be refused, whatever the load
	levelArrivals      []float64 // arrivals in this period, by level
	levelRates         []float64 // and a second, smoothed

	// Pool load.
	answerCount, latencySum, fullCount, errorCount float64            // decaying sums
	baseLatency                                    float64            // quiet latency, s
	baseLearned                                    bool               // base, from answers; until then it is a guess
	expected                                       []*expectedLatency // of each class
	meanObjective                                  float64            // mean of the classes, s

	servers         map[ServerID]*server
	manuallyEjected map[ServerID]time.Duration // by hand, since when; listed or not
	firstCallsDue   int                        // servers back from a ban, with no call yet
	listed          []*server                  // by hash: the order is that of no zone or age
	subset          []*server                  // the subset
	subsetSize      int
	weighted        bool    // servers of use differ in weight
	ejectedCount    int     // of use, servers that are out
	totalCapacity   float64 // of use, capacity of all together, in warm servers
	serverCapacity  float64 // calls a second that a warm server could answer, as those of use report; 0: not known

	requests    map[RequestID]*request
	retryBudget float64

	connectionsFullAt time.Duration // last time that a server that answers took no connection
	watching          bool
	pollFailures      int
}
