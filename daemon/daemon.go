// Package daemon provides what the long-running programs share: logging, process
// metrics, the admin HTTP endpoints, signal handling and graceful HTTP shutdown.
package daemon

import (
	"context"
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
	adminTimeout       = 30 * time.Second // for a request, and for its response
)

// SystemClock reads the host's wall clock.
type SystemClock struct{}

// Now implements bamboostep.Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// NewLogger returns a logger that writes one logfmt line per event to w, each with
// a timestamp and the name of the process.
func NewLogger(w io.Writer, process string) *log.Logger {
	logger := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
	})
	return logger.With("process", process)
}

// NewRegistry returns a metrics registry with the Go runtime and process collectors.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// SignalContext returns a context that is cancelled on SIGTERM or SIGINT. The first signal
// restores the default handling, so a second one terminates the process at once.
func SignalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// AdminServer is the HTTP server of a process's /metrics, /healthz, /readyz and /timeline
// endpoints. The fields must not change after Run or Handler is called.
type AdminServer struct {
	Address   string // host:port to listen on; if empty, Run serves nothing
	Registry  *prometheus.Registry
	Recorder  *timeline.Recorder
	Ready     func() error // returns why the process is not ready for traffic; if nil, it is always ready
	Resources Resources    // of the process
}

// Run listens on Address and serves until ctx is cancelled. It blocks until then even
// if Address is empty.
func (a *AdminServer) Run(ctx context.Context) error {
	if a.Address == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := net.Listen("tcp", a.Address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: adminHeaderTimeout, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout, IdleTimeout: 2 * adminTimeout}
	s.Handler = &HeadGuard{Handler: s.Handler}
	s.MaxHeaderBytes = SmallHeaderBytes
	return ServeLimited(ctx, listener, s, adminCloseTimeout, a.Resources.AdminConnections())
}

// Handler returns the admin endpoints as a handler, for programs that serve them on
// a listener of their own together with other endpoints.
func (a *AdminServer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.HandleFunc("GET /timeline", a.serveTimeline)
	return mux
}

func (a *AdminServer) serveReady(w http.ResponseWriter, r *http.Request) {
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

func (a *AdminServer) serveTimeline(w http.ResponseWriter, r *http.Request) {
	q, err := timeline.ParseQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = a.Recorder.Write(w, q) // fails only if the client has left
}
