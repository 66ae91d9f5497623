// Package daemon is what every long-running program of the system has in common:
// logs, metrics, health pages and the handling of signals.
package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bamboostep/bamboostep/timeline"
)

const (
	adminHeaderTimeout = 5 * time.Second
	adminCloseTimeout  = 2 * time.Second
)

// SystemClock is the host's wall clock.
type SystemClock struct{}

// Now implements bamboostep.Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// NewLogger returns a logger that writes one key=value line per event to w.
func NewLogger(w io.Writer, process string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
	})
	return l.With("process", process)
}

// NewRegistry returns a metrics registry with the usual process metrics.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Signals returns a context that ends at SIGTERM or SIGINT. A second signal ends
// the process at once.
func Signals(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// Admin serves /metrics, /healthz, /readyz and /timeline. Set the exported
// fields before Run.
type Admin struct {
	Address  string // host and port; nothing is served if empty
	Registry *prometheus.Registry
	Recorder *timeline.Recorder
	Ready    func() error // why the process should get no work, or nil
}

// Run serves until ctx ends.
func (a *Admin) Run(ctx context.Context) error {
	if a.Address == "" {
		<-ctx.Done()
		return nil
	}
	nl, err := net.Listen("tcp", a.Address)
	if err != nil {
		return err
	}
	return ServeHTTP(ctx, nl, &http.Server{Handler: a.Handler(), ReadHeaderTimeout: adminHeaderTimeout}, adminCloseTimeout)
}

// Handler returns the pages without a listener, for programs that serve them
// beside others.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.HandleFunc("GET /timeline", a.serveTimeline)
	return mux
}

func (a *Admin) serveReady(w http.ResponseWriter, r *http.Request) {
	if a.Ready == nil {
		io.WriteString(w, "ok\n")
		return
	}
	if err := a.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

func (a *Admin) serveTimeline(w http.ResponseWriter, r *http.Request) {
	q, err := timeline.ParseQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a.Recorder.Find(q))
}
