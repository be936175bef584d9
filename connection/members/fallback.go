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
	// knownEntries returns the entry instances that the watcher knows.
	knownEntries func() []core.Instance
	client       *http.Client
	// etag is the ETag of the list read last.
	etag string
}

// NewPeerFallback returns a Fallback that reads the list of instances from the known entry
// instances, in random order so that the requests spread over them. An agent reads
// the list of the first one that answers. An entry instance reads the lists of up
// to maxListsPerRead of them and announces itself with each request.
func NewPeerFallback(knownEntries func() []core.Instance, self core.Instance, token string) instances.Fallback {
	l := &listReader{
		self: self, token: token, knownEntries: knownEntries,
		client: &http.Client{Timeout: instances.DefaultInterval},
	}
	return l.read
}

// read implements instances.Fallback. It returns the joined lists of the entry
// instances that answered. A list that equals the one read last adds nothing.
func (l *listReader) read(ctx context.Context) ([]core.Instance, error) {
	err := errors.New("no entry instance known")
	var list []core.Instance
	answers := 0
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
		answers++
		if l.self.Role != core.RoleEntry || answers == maxListsPerRead {
			break
		}
	}
	if answers > 0 {
		return list, nil
	}
	return nil, err
}

// requestList reads the list of one entry instance. It returns nil if the list
// equals the one read last.
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

// newRequest builds the HTTP request for the list of peer. The request of an entry
// instance also announces it.
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
