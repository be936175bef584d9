package faults

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rattanway/rattanway/connection/engine"
	"github.com/rattanway/rattanway/core"
)

// postJSON posts a JSON body. A status of 300 or above fails the test.
func postJSON(c *cluster, addr, path, body string) {
	c.t.Helper()
	resp, err := http.Post("http://"+addr+path, "application/json", strings.NewReader(body))
	c.must(err)
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		c.t.Fatalf("POST %s: status %d", path, resp.StatusCode)
	}
}

// loadedDigest returns the digest of the first version that an engine has
// loaded.
func loadedDigest(c *cluster, server string) core.Digest {
	c.t.Helper()
	var s engine.Status
	c.must(json.Unmarshal([]byte(getBody(c.processes["engine:"+server].addr, engine.StatusPath)), &s))
	if len(s.Loaded) == 0 {
		c.t.Fatalf("%s has no version loaded", server)
	}
	return s.Loaded[0].Digest
}
