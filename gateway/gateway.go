// Package gateway is the reverse proxy for callers' plain HTTP requests. It routes,
// admits and retries requests, forwards responses and streams, and rejects what cannot
// be served.
//
// The status of an error that the gateway itself generates tells the caller whether the
// request may have run. 429 and 503 guarantee that it has not run and never will. They
// are sent only while no byte of the request may have reached a backend server, or
// every backend server that it reached has reported that it did not run it. After that,
// a failure is reported as 502 or 504, which guarantee nothing.
//
//   - A request that must not run twice is sent to a second backend server only while
//     that guarantee still holds.
//   - A repeatable request is retried within its attempts, its deadline and this
//     entry's share of the retry budget of its service.
//   - A request that no backend server can serve in time is rejected early, with a
//     Retry-After header.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/origin"
	"github.com/bamboostep/bamboostep/quarantine"
	"github.com/bamboostep/bamboostep/quota"
	"github.com/bamboostep/bamboostep/release"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

const (
	routeTableTimeout      = 1200 * time.Millisecond // of a request, for the first routing table
	routeTablePollInterval = 10 * time.Millisecond
)

// AdapterLoader loads adapters on backend servers.
type AdapterLoader interface {
	// LoadAdapter returns once the adapter n is loaded at address, or fails.
	LoadAdapter(ctx context.Context, address string, n fleet.ModelName) error
}

// Gateway is the http.Handler for callers' requests. Set the exported fields before the
// first request.
type Gateway struct {
	Dialect      bamboostep.Dialect
	RouteTable   func() *route.Table // returns the current table, or nil before the first one
	Fleet        *fleet.Fleet
	Pool         *origin.Pool
	Adapters     AdapterLoader
	RetryBudget  func(service string) *dispatch.RetryBudget
	Quarantine   *quarantine.Guard    // may be nil
	QuotaLimiter *quota.Limiter       // may be nil
	ServerLimits *quota.ServerLimiter // may be nil
	Releases     *release.Tracker     // software versions at which streams began; may be nil
	KeyLease     *ledger.Lease        // while it is valid, the keys in the current table can be trusted; may be nil
	Proof        RouteProof           // what the current table rests on; may be nil
	Memory       *memory.Budget       // for all that is held for callers and servers; nil for a small one
	Recorder     *timeline.Recorder
	Metrics      *Metrics

	// MaxWaitingBytes bounds the bodies of the requests that wait for engines to get through their backlog, see
	// waiting.go. 0 selects a default.
	MaxWaitingBytes int64

	shutdown       atomic.Pointer[ShutdownPlan] // nil until Stop is called
	activeRequests atomic.Int64
	runTimes       runTimes
	bodyOnce       sync.Once
	bodyReads      context.Context // ends when the bodies of requests are no longer read; see bodyReadContext
	endBodyReads   context.CancelFunc
	waiting        waitingRequests
	memoryOnce     sync.Once // of budget
	writes         writeWatch
}

var _ http.Handler = (*Gateway)(nil)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	x := &exchange{g: g, w: w, r: r, arrived: time.Now(), held: g.budget().Open()}
	x.held.Owner = x
	defer x.held.Close()
	if g.shutdown.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x.serve()
}

// ActiveRequests returns the number of requests in progress.
func (g *Gateway) ActiveRequests() int64 { return g.activeRequests.Load() }

// BeginShutdown begins the shutdown s. From then on, the gateway closes each caller's connection
// after its next response and rejects requests that would not finish before the process
// exits.
func (g *Gateway) BeginShutdown(s ShutdownPlan) {
	g.shutdown.Store(&s)
	g.bodyReadContext()
	time.AfterFunc(time.Until(s.bodyCutoff()), g.endBodyReads)
}

// refusesDuringShutdown reports whether c is rejected because the process is shutting
// down.
func (g *Gateway) refusesDuringShutdown(c bamboostep.Call, now time.Time) bool {
	s := g.shutdown.Load()
	if s == nil {
		return false
	}
	elapsed := now.Sub(s.StartedAt)
	return s.RejectsNew(elapsed) || !s.CanFinish(elapsed, c.MaxAnswerTokens)
}

// exchange is the state of one caller request while it is being served.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	call     bamboostep.Call
	prompt   fleet.Prompt       // of call
	content  quarantine.Content // of the call; zero until its body is read
	table    *route.Table
	route    *route.Route
	service  *route.Service
	deadline time.Time

	held        memory.Holder // the bytes of body and answer
	renewBodyAt time.Time     // when the deadline of the body's reads is renewed
	responding  atomic.Bool   // the response is being written

	workspace *route.Workspace // of the caller's key; nil if it has none
	leased    bool             // the keys in the table could be trusted when it was looked up

	quarantineVerdict quarantine.Verdict
	serverRun         *fleet.Assignment // of the latest attempt
	framing           origin.Framing    // of the latest response that ran
	sentAttempts      int               // attempts of which a backend server may have received anything
	possibleRuns      int               // of sentAttempts, those that may have run
	failedAddresses   []string          // backend servers that new attempts avoid
	unsentAttempts    int               // failed connections and adapter loads
	chargedAttempts   int               // value of sentAttempts when the retry budget was last charged
	provablyNotRun    bool              // no backend server has run the request or will
	stream            *streamState
	origin            release.Origin       // of the stream, once the caller has an event of it; its version is empty if unknown
	retriedFailed     bool                 // failedAddresses was cleared once, since no other backend server has the version
	permit            quota.Permit         // of the latest attempt
	permitUsed        bool                 // its request was sent
	limitWait         time.Duration        // shortest wait for a permit, if backend servers at their limits are why none was chosen
	noRoom            *fleet.NoServerError // why none of the backend servers was chosen, if it is known when there is room; else nil
	heldUntil         time.Time            // when the request no longer waits for its turn; zero if it has not waited
	pendingMove       *streamMove          // completed move that the next attempt continues; nil for none
}

func (x *exchange) serve() {
	if !x.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.provablyNotRun = true
	defer x.refundQuota()
	x.runAttempts(ctx)
}

// admit reads and authenticates the request, finds its route and applies the limits. If
// the request is rejected, admit writes the response and returns false.
func (x *exchange) admit() bool {
	call, err := x.g.Dialect.DecodeCall(x.r)
	x.call = call
	if err != nil {
		return x.fail(http.StatusBadRequest, "request_unreadable", err.Error())
	}
	if x.table = x.waitForRouteTable(); x.table == nil {
		return x.refuse("no_routes", retryAfterShort)
	}
	if !x.findRoute() {
		return false
	}
	if limit := x.table.Limits.MaxHeaderBytes; limit > 0 && headerBytes(x.r) > limit {
		return x.fail(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", "")
	}
	if x.g.refusesDuringShutdown(call, x.arrived) {
		return x.refuse(reasonStopping, 0)
	}
	if !x.readBody() {
		return false
	}
	if !x.admitByQuarantine() {
		x.refuseCrashing()
		return false
	}
	if !x.findOrigin() {
		return false
	}
	x.setDeadline()
	x.service = x.selectService()
	if !x.isModelDeclared() {
		return x.refuse("model_not_declared", retryAfterModelLoad)
	}
	if !x.admitByQuota() {
		return false
	}
	x.g.RetryBudget(x.service.Name).AddRequest(x.arrived)
	x.prompt = fleet.NewPrompt(x.modelName(), call.Prompt)
	if call.Model != "" {
		x.g.Fleet.CountRequest(x.modelName())
	}
	return true
}

// waitForRouteTable returns the current routing table, or nil if there is still none
// after a short wait. A process that has just started receives its first table as soon as
// it reaches a voter.
func (x *exchange) waitForRouteTable() *route.Table {
	giveUpAt := x.arrived.Add(routeTableTimeout)
	if x.call.TimeLimit > 0 {
		giveUpAt = x.arrived.Add(min(routeTableTimeout, x.call.TimeLimit/3))
	}
	for {
		table := x.g.RouteTable()
		if table != nil || !time.Now().Before(giveUpAt) || x.r.Context().Err() != nil {
			return table
		}
		time.Sleep(routeTablePollInterval)
	}
}

// isModelDeclared reports whether the service declares the requested model, if it serves models. Backend servers
// may hold others for a while, until these are unloaded.
func (x *exchange) isModelDeclared() bool {
	return x.call.Model == "" || x.service.Engine == nil || x.service.Engine.Model(x.call.Model) != nil
}

func (x *exchange) modelName() fleet.ModelName {
	return fleet.ModelName{Model: x.call.Model, Adapter: x.call.Adapter}
}

func (x *exchange) setDeadline() {
	within := x.route.Timeout
	if x.call.TimeLimit > 0 {
		within = min(within, x.call.TimeLimit)
	}
	x.deadline = x.arrived.Add(within)
}

// headerBytes returns the approximate size of the request head in bytes.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
