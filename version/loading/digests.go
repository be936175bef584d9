package loading

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/spread"
)

// DigestsPath is where an agent tells others the digests of a version, below
// it the model and the version.
const DigestsPath = "/internal/digests/"

const (
	// digestsTimeout bounds the question to another agent, which may have to
	// ask the origin first.
	digestsTimeout = 1500 * time.Millisecond
	// maxDigestsBytes bounds its answer.
	maxDigestsBytes = 1 << 20
	// digestsAsked is how many agents are asked before the origin.
	digestsAsked = 2
)

// digestBook finds the digests of versions. One agent for all reads the origin
// and the others ask it.
type digestBook struct {
	self   string
	token  string
	origin Origin
	client *http.Client
}

// key names a version.
type key struct {
	model   string
	version int
}

// find returns the digests of a version from another agent or the origin.
func (b *digestBook) find(ctx context.Context, w Wanted, t Target) ([]core.Digest, error) {
	asked := 0
	for _, peer := range byRank(w, t.Agents) {
		if peer.ID == b.self || asked == digestsAsked {
			break
		}
		asked++
		if digests, err := b.ask(ctx, peer.Addr, w); err == nil {
			return digests, nil
		}
	}
	if t.Origin == "" {
		return nil, errors.New("no origin of weights is declared")
	}
	digests, err := b.origin.Digests(ctx, t.Origin, w.Model, w.Version)
	if err == nil && w.Chunks > 0 && len(digests) != w.Chunks {
		err = errors.Errorf("origin names %d pieces, want %d", len(digests), w.Chunks)
	}
	return digests, err
}

// byRank orders agents for a version, the same everywhere.
func byRank(w Wanted, agents []spread.Peer) []spread.Peer {
	sorted := append([]spread.Peer(nil), agents...)
	for i := range sorted {
		for k := i; k > 0 && rank(w, sorted[k].ID) < rank(w, sorted[k-1].ID); k-- {
			sorted[k], sorted[k-1] = sorted[k-1], sorted[k]
		}
	}
	return sorted
}

// ask asks another agent.
func (b *digestBook) ask(ctx context.Context, addr string, w Wanted) ([]core.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, digestsTimeout)
	defer cancel()
	address := "http://" + addr + DigestsPath + url.PathEscape(w.Model) + "/" + strconv.Itoa(w.Version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(core.HeaderPeerToken, b.token)
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, core.Step("ask for digests", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, core.Step("ask for digests", addr, errors.Errorf("status %d", resp.StatusCode))
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxDigestsBytes))
	if err != nil {
		return nil, core.Step("ask for digests", addr, err)
	}
	var digests []core.Digest
	if err := cbor.Unmarshal(raw, &digests); err != nil {
		return nil, core.Step("ask for digests", addr, err)
	}
	if w.Chunks > 0 && len(digests) != w.Chunks {
		return nil, core.Step("ask for digests", addr, errors.Errorf("%d digests, want %d", len(digests), w.Chunks))
	}
	return digests, nil
}

// DigestsHandler answers other agents, once this agent knows the digests.
func (l *Loader) DigestsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k := key{model: r.PathValue("model")}
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
