package cluster

import (
	"fmt"
	"net/http"
	"time"
)

const (
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// TimeoutError says that something did not come about in time.
type TimeoutError struct {
	What  string
	After time.Duration
	Last  error
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s did not come about within %v: %v", e.What, e.After, e.Last)
}

// WaitReady waits until every entry says that it is ready.
func (c *Cluster) WaitReady(entries ...string) error {
	for _, name := range entries {
		url := c.OperatorsURL(name) + "/readyz"
		if err := Eventually(startTimeout, "readiness of "+name, func() error { return checkOK(url) }); err != nil {
			return err
		}
	}
	return nil
}

// WaitHealthy waits until every entry answers at all.
func (c *Cluster) WaitHealthy(entries ...string) error {
	for _, name := range entries {
		url := c.OperatorsURL(name) + "/healthz"
		if err := Eventually(startTimeout, "health of "+name, func() error { return checkOK(url) }); err != nil {
			return err
		}
	}
	return nil
}

func checkOK(url string) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

// Eventually tries until check succeeds, and fails with a *TimeoutError.
func Eventually(timeout time.Duration, what string, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return &TimeoutError{what, timeout, err}
		}
		time.Sleep(pollInterval)
	}
}
