package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/operator"
	"github.com/bamboostep/bamboostep/timeline"
)

// This file serves the operators' HTTP API (package operator) together with the
// metrics, health and timeline pages of daemon.AdminServer.

// operatorTimeout is for a request of an operator to arrive, and for its response to be made and read.
const operatorTimeout = time.Minute

func (e *entry) serveOperators(ctx context.Context) error {
	nl, err := net.Listen("tcp", e.cfg.Operators)
	if err != nil {
		return err
	}
	admin := &daemon.AdminServer{Registry: e.registry, Recorder: e.recorder, Ready: e.ready, Resources: e.cfg.resources()}
	mux := http.NewServeMux()
	mux.Handle("/", admin.Handler())
	mux.Handle("/operator/v1/", &operator.Handler{
		Ledger:    e.client,
		Set:       e.feed.Set,
		Revisions: e.revisions,
		Status:    e.status,
		Timeline:  e.timeline,
		Voters:    e.client,
		Memory:    e.held,
		Token:     e.cfg.OperatorToken,
	})
	s := &http.Server{Handler: &daemon.HeadGuard{Memory: e.held, Handler: mux}, ReadHeaderTimeout: callerHeaderTimeout, ReadTimeout: operatorTimeout, WriteTimeout: 2 * operatorTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: e.log.StandardLog()}
	s.MaxHeaderBytes = daemon.SmallHeaderBytes
	return daemon.ServeLimited(ctx, nl, s, adminCloseTimeout, e.cfg.resources().Connections(daemon.EntryOperatorPart))
}

func (e *entry) revisions() []bamboostep.Revision {
	if s := e.client.State(); s != nil {
		return s.Revisions()
	}
	return nil
}

// timeline merges the matching events of this entry with those of the other
// processes that answer in time.
func (e *entry) timeline(ctx context.Context, q timeline.Query) []timeline.Event {
	lists := [][]timeline.Event{e.recorder.Find(q)}
	lists = append(lists, e.peers.Timeline(ctx, q)...)
	lists = append(lists, e.servers.Timeline(ctx, q)...)
	return timeline.Merge(lists...)
}
