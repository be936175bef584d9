package loading

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/spread"
)

// DigestsPath is the path prefix under which an agent serves the digests of a
// version to other agents; the model and the version follow.
const DigestsPath = "/internal/digests/"

const (
	// digestRequestTimeout limits the duration of a request to another agent.
	// That agent may first have to read the digests from the origin.
	digestRequestTimeout = 1500 * time.Millisecond
	// maxDigestResponseBytes limits the size of the response to such a request.
	maxDigestResponseBytes = 1 << 20
	// maxDigestRequests is the maximum number of agents from which the digests
	// are requested before they are read from the origin.
	maxDigestRequests = 2
	// maxDigestReads is the maximum number of responses of the origin that one lookup
	// compares, and maxDigestReadFailures the number of failed reads that ends it.
	maxDigestReads        = 5
	maxDigestReadFailures = 2
)

// digestFinder obtains the digests of the chunks of a version. The first agent in
// the order of sortedByHash reads the digests from the origin. Every other agent
// requests them from up to maxDigestRequests agents before it in that order, and
// reads the origin only if these requests fail.
type digestFinder struct {
	self   string
	token  string
	origin Origin
	client *http.Client
}

// versionKey identifies a version of a model.
type versionKey struct {
	model   string
	version int
}

// findDigests returns the digests of a version. It requests them from the agents
// of t and, if that fails, reads them from the origin.
func (f *digestFinder) findDigests(ctx context.Context, w WantedVersion, t Target) ([]core.Digest, error) {
	requests := 0
	for _, peer := range sortedByHash(w, t.Agents) {
		if peer.ID == f.self || requests == maxDigestRequests {
			break
		}
		requests++
		if digests, err := f.requestDigests(ctx, peer.Addr, w); err == nil {
			return digests, nil
		}
	}
	if t.OriginAddr == "" {
		return nil, errors.New("no origin of weights is declared")
	}
	return f.readOrigin(ctx, w, t.OriginAddr)
}

// readOrigin reads the digests of a version from the origin until two responses are
// equal. A single response may be corrupt and still well formed, and every agent would
// take the wrong digests from this one. The digests are about a thousandth of the
// version's bytes.
func (f *digestFinder) readOrigin(ctx context.Context, w WantedVersion, addr string) ([]core.Digest, error) {
	var seen [][]core.Digest
	failures := 0
	for len(seen) < maxDigestReads {
		digests, err := f.origin.Digests(ctx, addr, w.Model, w.Version)
		if err == nil && w.ChunkCount > 0 && len(digests) != w.ChunkCount {
			err = core.WrapStep("read digests", addr, errors.Errorf("%d digests of version %d, want %d", len(digests), w.Version, w.ChunkCount))
		}
		if err != nil {
			if failures++; failures == maxDigestReadFailures || ctx.Err() != nil {
				return nil, err
			}
			continue
		}
		for _, earlier := range seen {
			if slices.Equal(earlier, digests) {
				return digests, nil
			}
		}
		seen = append(seen, digests)
	}
	return nil, core.WrapStep("read digests", addr, errors.Errorf("%d responses for version %d all differ", len(seen), w.Version))
}

// sortedByHash returns the agents sorted by orderHash. Every agent computes the
// same order for a version.
func sortedByHash(w WantedVersion, agents []spread.Peer) []spread.Peer {
	hashes := make(map[string]uint64, len(agents))
	for _, a := range agents {
		hashes[a.ID] = orderHash(w, a.ID)
	}
	return slices.SortedStableFunc(slices.Values(agents), func(a, b spread.Peer) int { return cmp.Compare(hashes[a.ID], hashes[b.ID]) })
}

// requestDigests requests the digests of a version from the agent at addr and
// returns them.
func (f *digestFinder) requestDigests(ctx context.Context, addr string, w WantedVersion) ([]core.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, digestRequestTimeout)
	defer cancel()
	address := "http://" + addr + DigestsPath + url.PathEscape(w.Model) + "/" + strconv.Itoa(w.Version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(core.HeaderPeerToken, f.token)
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, core.WrapStep("request digests", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, core.WrapStep("request digests", addr, errors.Errorf("status %d", resp.StatusCode))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDigestResponseBytes))
	if err != nil {
		return nil, core.WrapStep("request digests", addr, err)
	}
	var digests []core.Digest
	if err := cbor.Unmarshal(body, &digests); err != nil {
		return nil, core.WrapStep("request digests", addr, err)
	}
	if w.ChunkCount > 0 && len(digests) != w.ChunkCount {
		return nil, core.WrapStep("request digests", addr, errors.Errorf("%d digests, want %d", len(digests), w.ChunkCount))
	}
	return digests, nil
}

// DigestsHandler returns the handler that serves the digests of a version to
// other agents. A request for a declared version waits until this agent has the
// digests; a request for any other version gets status 404.
func (l *Loader) DigestsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k := versionKey{model: r.PathValue("model")}
		var err error
		if k.version, err = strconv.Atoi(r.PathValue("version")); err != nil {
			http.Error(w, "version is not a number", http.StatusBadRequest)
			return
		}
		digests, err := l.digestsFor(r.Context(), k)
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		body, err := cbor.Marshal(digests)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if _, err := w.Write(body); err != nil {
			return
		}
	})
}
