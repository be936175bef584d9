package members

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/instances"
)

// listReader reads the list of instances from entry instances.
type listReader struct {
	self  core.Instance
	token string
	// knownEntries returns the entry instances that the watcher has listed.
	knownEntries func() []core.Instance
	client       *http.Client
	// etag is the ETag of the list read last, whichever entry instance sent it.
	etag string
}

// NewPeerFallback returns a Fallback that reads the list of instances from the
// known entry instances, in random order so that the requests are spread evenly.
// An agent reads the list of the first entry instance that responds. An entry
// instance reads the lists of up to maxListsPerRead others and announces itself
// with each request.
func NewPeerFallback(knownEntries func() []core.Instance, self core.Instance, token string) instances.Fallback {
	l := &listReader{
		self: self, token: token, knownEntries: knownEntries,
		client: &http.Client{Timeout: instances.DefaultInterval},
	}
	return l.read
}

// read implements instances.Fallback. It returns the joined lists of the entry
// instances that responded. A list that has not changed since the last read is
// left out, so the result may be empty. It returns an error if no entry instance
// responded.
func (l *listReader) read(ctx context.Context) ([]core.Instance, error) {
	err := errors.New("no entry instance known")
	var list []core.Instance
	responseCount := 0
	peers := l.knownEntries()
	for _, i := range rand.Perm(len(peers)) {
		if peers[i].ID == l.self.ID {
			continue
		}
		received, requestErr := l.requestList(ctx, peers[i])
		if requestErr != nil {
			err = requestErr
			continue
		}
		list = append(list, received...)
		responseCount++
		if l.self.Role != core.RoleEntry || responseCount == maxListsPerRead {
			break
		}
	}
	if responseCount > 0 {
		return list, nil
	}
	return nil, err
}

// requestList reads the list of one entry instance. It returns nil if the list has
// not changed since the last read, whether from this entry instance or from
// another.
func (l *listReader) requestList(ctx context.Context, peer core.Instance) ([]core.Instance, error) {
	const step = "list instances"
	req, err := l.newRequest(ctx, peer)
	if err != nil {
		return nil, core.WrapStep(step, peer.ID, err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, core.WrapStep(step, peer.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, core.WrapStep(step, peer.ID, errors.Errorf("status %d", resp.StatusCode))
	}
	var list []core.Instance
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, core.WrapStep(step, peer.ID, err)
	}
	l.etag = resp.Header.Get("ETag")
	return list, nil
}

// newRequest builds the HTTP request for the list of peer. If this process is an
// entry instance, the request also announces this process.
func (l *listReader) newRequest(ctx context.Context, peer core.Instance) (*http.Request, error) {
	method, body := http.MethodGet, []byte(nil)
	if l.self.Role == core.RoleEntry {
		var err error
		method = http.MethodPost
		if body, err = json.Marshal(l.self); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+peer.Addr+Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(core.HeaderPeerToken, l.token)
	if l.etag != "" {
		req.Header.Set("If-None-Match", l.etag)
	}
	return req, nil
}
