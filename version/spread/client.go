package spread

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/dial"
)

// Headers between agents.
const (
	headerPeerAddr       = "X-Peer-Addr"
	headerPeerDataCentre = "X-Peer-Data-Centre"
	headerPeerRegion     = "X-Peer-Region"
	// headerHolders names peers that hold a chunk or soon will, as a list of
	// "ip:port" separated by commas.
	headerHolders = "X-Chunk-Holders"
)

// Query parameters between agents.
const (
	queryVersion = "version"
	queryTier    = "tier"
	queryWait    = "wait"
	queryQueue   = "queue"
	queryOwners  = "owners"
)

// maxObjectBytes bounds what is read of one answer, in bytes.
const maxObjectBytes = 256 << 20

// Connection bounds of an agent towards its peers.
const (
	idleTimeout      = 10 * time.Second
	maxIdlePerPeer   = 4
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
)

// tier says what the asked agent does for an object that it does not hold.
type tier int

// The tiers. An agent asked at one tier asks others only at a higher one, so
// that two agents never wait for each other.
const (
	// tierReader is an agent that wants an object for itself.
	tierReader tier = iota
	// tierDataCentre is the owner in a data centre: it asks the region's.
	tierDataCentre
	// tierRegion is the owner in a region: it reads the origin, or with
	// Config.OneOriginCopy asks the owner among all agents.
	tierRegion
	// tierFleet is the owner among all agents: it reads the origin.
	tierFleet
	// tierHeld gives only what is held or already on its way.
	tierHeld
	// tierReading gives only what is held or being read from the origin.
	tierReading
)

var tierNames = map[tier]string{
	tierReader: "reader", tierDataCentre: "data-centre", tierRegion: "region", tierFleet: "fleet", tierHeld: "held",
	tierReading: "reading",
}

// parseTier returns the tier that a peer names; tierHeld for any other word.
func parseTier(name string) tier {
	switch name {
	case tierNames[tierDataCentre]:
		return tierDataCentre
	case tierNames[tierRegion]:
		return tierRegion
	case tierNames[tierFleet]:
		return tierFleet
	case tierNames[tierReading]:
		return tierReading
	}
	return tierHeld
}

// object is a chunk or manifest of a version.
type object struct {
	version  core.Digest
	digest   core.Digest
	manifest bool
	// owners names the region's owners, as a list of "ip:port" separated by
	// commas, to an agent that has not heard of the version itself.
	owners string
}

// path returns the object's path at agents.
func (o object) path() string {
	if o.manifest {
		return ManifestPath + string(o.digest)
	}
	return ChunkPath + string(o.digest)
}

// Errors of asking a peer.
var (
	// errPending says that the peer is bringing the object itself.
	errPending = errors.New("not there yet")
	// errMissing says that the peer neither holds nor wants the object.
	errMissing = errors.New("not held")
	// errBusy says that the peer names other holders, or sends enough already.
	errBusy = errors.New("busy")
	// errFailing says that the peer tried to bring the object and failed.
	errFailing = errors.New("peer cannot get it")
)

// question is what an agent asks a peer.
type question struct {
	object
	// tier says what the peer is to do for an object that it does not hold.
	tier tier
	// wait is how long the peer may hold the request open.
	wait time.Duration
	// queue makes the peer send the object itself, once it has a free slot.
	queue bool
}

// newClient returns the HTTP client of an agent towards its peers.
func newClient(idle int) *http.Client {
	transport := &http.Transport{
		DialContext:         dial.Context,
		DisableCompression:  true,
		MaxIdleConns:        idle,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      readBufferBytes,
		WriteBufferSize:     writeBufferBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// ask asks the peer at addr for an object once. The error wraps one of the
// errors above when the peer answered; with errBusy the holders it named are
// returned.
func (s *Swarm) ask(ctx context.Context, addr string, q question) (body []byte, holders []string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The watchdog ends the request when no answer or no byte comes in time.
	watchdog := time.AfterFunc(q.wait+s.cfg.AnswerMargin, cancel)
	defer watchdog.Stop()
	resp, err := s.client.Do(s.request(ctx, addr, q))
	if err != nil {
		return nil, nil, core.Step("ask peer", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		body, err = s.receive(ctx, resp, addr, watchdog)
		return body, nil, core.Step("read from peer", addr, err)
	case http.StatusAccepted:
		return nil, nil, core.Step("ask peer", addr, errPending)
	case http.StatusNotFound:
		return nil, nil, core.Step("ask peer", addr, errMissing)
	case http.StatusTemporaryRedirect:
		if named := resp.Header.Get(headerHolders); named != "" {
			holders = strings.Split(named, ",")
		}
		return nil, holders, core.Step("ask peer", addr, errBusy)
	case http.StatusServiceUnavailable:
		return nil, nil, core.Step("ask peer", addr, errFailing)
	}
	return nil, nil, core.Step("ask peer", addr, errors.Errorf("status %d", resp.StatusCode))
}

// request builds the request of ask.
func (s *Swarm) request(ctx context.Context, addr string, q question) *http.Request {
	query := url.Values{}
	query.Set(queryVersion, string(q.version))
	query.Set(queryTier, tierNames[q.tier])
	query.Set(queryWait, q.wait.String())
	if q.tier == tierDataCentre {
		query.Set(queryOwners, q.owners)
	}
	if q.queue {
		query.Set(queryQueue, "1")
	}
	u := url.URL{Scheme: "http", Host: addr, Path: q.path(), RawQuery: query.Encode()}
	req := (&http.Request{Method: http.MethodGet, URL: &u, Host: addr, Header: http.Header{}}).WithContext(ctx)
	req.Header.Set(core.HeaderPeerToken, s.cfg.Token)
	req.Header.Set(headerPeerAddr, s.cfg.Self.Addr)
	req.Header.Set(headerPeerDataCentre, s.cfg.Self.DataCentre)
	req.Header.Set(headerPeerRegion, s.cfg.Self.Region)
	return req
}

// receive reads an answer's body within the budgets of the links.
func (s *Swarm) receive(ctx context.Context, resp *http.Response, addr string, watchdog *time.Timer) ([]byte, error) {
	size := resp.ContentLength
	if size < 0 || size > maxObjectBytes {
		return nil, errors.Errorf("answer of %d bytes", size)
	}
	body := make([]byte, size)
	for got := 0; got < len(body); {
		piece := min(pieceBytes, len(body)-got)
		watchdog.Reset(s.cfg.Stall)
		n, err := io.ReadAtLeast(resp.Body, body[got:got+piece], 1)
		if err != nil {
			return nil, err
		}
		got += n
		// The pause for our own budget is not the peer's stall.
		watchdog.Stop()
		if err := s.payInbound(ctx, resp.Header.Get(headerPeerRegion), int64(n)); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// payInbound takes n bytes that come from a region out of the budgets.
func (s *Swarm) payInbound(ctx context.Context, region string, n int64) error {
	if region != "" && region != s.cfg.Self.Region {
		if err := s.region.Wait(ctx, n); err != nil {
			return err
		}
	}
	return s.download.Wait(ctx, n)
}
