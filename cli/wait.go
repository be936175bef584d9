package cli

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// pollInterval is the time between two attempts of the commands wait and ask.
	pollInterval = 50 * time.Millisecond
	// probeTimeout is the timeout of one GET request of the command wait.
	probeTimeout = 2 * time.Second
)

// WaitCmd waits until a GET request to a path returns status 200 at every
// address.
type WaitCmd struct {
	Path    string        `help:"Path that must return status 200." default:"/readyz"`
	Timeout time.Duration `help:"Longest wait." default:"30s"`
	Addrs   []string      `arg:"" help:"Addresses, ip:port."`
}

// Run implements the command.
func (c *WaitCmd) Run() error {
	client := &http.Client{Timeout: probeTimeout}
	deadline := time.Now().Add(c.Timeout)
	for _, addr := range c.Addrs {
		for !isReady(client, "http://"+addr+c.Path) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready after %s", addr, c.Timeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// isReady reports whether a GET request to url returns status 200.
func isReady(client *http.Client, url string) bool {
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
