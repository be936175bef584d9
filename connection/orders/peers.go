package orders

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/core"
)

// VersionsPath is the HTTP path at which an agent serves the versions that its
// engine reports as loaded, as JSON for other agents.
const VersionsPath = "/internal/versions"

const (
	// versionsTimeout limits one request for a peer's loaded versions.
	versionsTimeout = time.Second
	// maxVersionsBytes is the largest response read from a peer, in bytes.
	maxVersionsBytes = 1 << 20
	// maxSampleSize is the largest number of agents that are checked to decide
	// whether a version is rolled out.
	maxSampleSize = 8
)

// versionsResponse is the body of a response at VersionsPath.
type versionsResponse struct {
	// Loaded lists the versions that the engine reports as loaded. It is empty
	// while there is no current report of the engine.
	Loaded []frame.LoadedVersion `json:"loaded"`
}

// Handler returns the handler for VersionsPath. It refuses requests without the
// peer token.
func (c *Controller) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !core.SameSecret(r.Header.Get(core.HeaderPeerToken), c.cfg.Token) {
			http.Error(w, "wrong peer token", http.StatusUnauthorized)
			return
		}
		var response versionsResponse
		if status, _, ok := c.statusSource.Status(); ok {
			response.Loaded = status.Loaded
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	})
}

// peerHasLoaded requests a peer's loaded versions and reports whether d is among
// them. It returns an error if the peer sent no valid response.
func (c *Controller) peerHasLoaded(ctx context.Context, peer core.Instance, d core.Digest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Addr+VersionsPath, nil)
	if err != nil {
		return false, err
	}
	req.Header.Set(core.HeaderPeerToken, c.cfg.Token)
	resp, err := c.client.Do(req)
	if err != nil {
		return false, core.WrapStep("read versions", peer.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return false, core.WrapStep("read versions", peer.ID, errors.Errorf("status %d", resp.StatusCode))
	}
	var response versionsResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxVersionsBytes)).Decode(&response); err != nil {
		return false, core.WrapStep("read versions", peer.ID, err)
	}
	return containsDigest(response.Loaded, d), nil
}

// containsDigest reports whether a list of loaded versions contains the digest d.
func containsDigest(loaded []frame.LoadedVersion, d core.Digest) bool {
	for _, l := range loaded {
		if l.Digest == d {
			return true
		}
	}
	return false
}

// versionRolledOut reports whether the version d is rolled out: of the agents
// that are checked, at least the share Config.MinLoadedShare report d as
// loaded. agents are the agents to which d is assigned, in the order of their
// rank. At most maxSampleSize of them are checked, spread evenly over the
// ranks. A peer that does not respond counts as not having loaded d.
func (c *Controller) versionRolledOut(ctx context.Context, agents []core.Instance, d core.Digest) bool {
	sample := evenSample(agents, maxSampleSize)
	loadedCount := 0
	for _, peer := range sample {
		if peer.ID == c.cfg.Self.ID {
			if status, _, ok := c.statusSource.Status(); ok && containsDigest(status.Loaded, d) {
				loadedCount++
			}
			continue
		}
		if loaded, err := c.peerHasLoaded(ctx, peer, d); err == nil && loaded {
			loadedCount++
		}
	}
	return len(sample) > 0 && float64(loadedCount) >= c.cfg.MinLoadedShare*float64(len(sample))
}

// evenSample returns at most n of the peers, evenly spaced.
func evenSample(peers []core.Instance, n int) []core.Instance {
	if len(peers) <= n {
		return peers
	}
	var out []core.Instance
	for i := range n {
		out = append(out, peers[i*len(peers)/n])
	}
	return out
}

// mayReplace reports whether this server, of the given rank, may unload its old
// version to load d into the same slot. agents are the agents to which d is
// assigned, in the order of their rank. At most m = max(1,
// len(agents)/Config.ReplaceDivisor) servers replace a version at the same
// time: the server of rank r waits until the agent of rank r-m reports d as
// loaded. If that agent has not responded for Config.PeerTimeout, its server is
// assumed to handle no calls, and the agent of rank r-2m is checked instead,
// and so on.
func (c *Controller) mayReplace(ctx context.Context, agents []core.Instance, rank int, d core.Digest) bool {
	maxReplacing := max(1, len(agents)/c.cfg.ReplaceDivisor)
	for r := rank - maxReplacing; r >= 0; r -= maxReplacing {
		loaded, err := c.peerHasLoaded(ctx, agents[r], d)
		if err == nil {
			delete(c.unresponsiveSince, agents[r].ID)
			return loaded
		}
		since, recorded := c.unresponsiveSince[agents[r].ID]
		if !recorded {
			c.unresponsiveSince[agents[r].ID] = c.clock.Now()
			return false
		}
		if c.clock.Since(since) < c.cfg.PeerTimeout {
			return false
		}
	}
	return true
}
