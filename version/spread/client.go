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

// HTTP headers of requests and responses between agents.
const (
	headerPeerAddr       = "X-Peer-Addr"
	headerPeerDataCentre = "X-Peer-Data-Centre"
	headerPeerRegion     = "X-Peer-Region"
	// headerHolders lists the addresses of peers that hold an object or will
	// soon hold it, as "ip:port" separated by commas.
	headerHolders = "X-Chunk-Holders"
)

// Query parameters of requests between agents.
const (
	queryVersion     = "version"
	queryTier        = "tier"
	queryWait        = "wait"
	queryWaitForSlot = "queue"
	queryOwners      = "owners"
)

// maxObjectBytes is the largest response body that is accepted, in bytes.
const maxObjectBytes = 256 << 20

// Limits of the HTTP connections from an agent to its peers.
const (
	idleTimeout               = 10 * time.Second
	maxIdleConnectionsPerPeer = 4
	readBufferBytes           = 8 << 10
	writeBufferBytes          = 4 << 10
)

// tier selects what an agent does when a peer requests an object that the
// agent does not hold.
type tier int

// The tiers. The first four are in ascending order. To serve a request at one of
// the first four, an agent sends its own requests only at a higher tier, so that
// two agents never wait for each other. To serve a request at one of the last
// two, an agent sends no requests.
const (
	// tierReader means that an agent fetches an object for its own use.
	tierReader tier = iota
	// tierDataCentre means that the owner in a data centre requests the object
	// from the owner in the region.
	tierDataCentre
	// tierRegion means that the owner in a region reads the origin. With
	// Config.ReadOriginOnce, this owner instead requests the object from the
	// object's only owner in all regions together.
	tierRegion
	// tierAllRegions means that the only owner in all regions together reads
	// the origin.
	tierAllRegions
	// tierHeld means that the agent returns an object only if the object is held
	// or is being fetched.
	tierHeld
	// tierOriginRead means that the agent returns an object only if the object
	// is held or is being read from the origin.
	tierOriginRead
)

var tierNames = map[tier]string{
	tierReader: "reader", tierDataCentre: "data-centre", tierRegion: "region", tierAllRegions: "fleet", tierHeld: "held",
	tierOriginRead: "reading",
}

// parseTier returns the tier with the given name, or tierHeld for an unknown
// name.
func parseTier(name string) tier {
	switch name {
	case tierNames[tierDataCentre]:
		return tierDataCentre
	case tierNames[tierRegion]:
		return tierRegion
	case tierNames[tierAllRegions]:
		return tierAllRegions
	case tierNames[tierOriginRead]:
		return tierOriginRead
	}
	return tierHeld
}

// object identifies a chunk or the manifest of a version.
type object struct {
	version    core.Digest
	digest     core.Digest
	isManifest bool
	// owners lists the addresses of the object's owners in the region, as
	// "ip:port" separated by commas. An agent that has no list of peers for the
	// version sends its requests to these owners.
	owners string
}

// path returns the URL path at which agents serve the object.
func (o object) path() string {
	if o.isManifest {
		return ManifestPath + string(o.digest)
	}
	return ChunkPath + string(o.digest)
}

// Errors that requestObject returns when the peer responded without the object.
var (
	// errPending is returned when the peer is still fetching the object, or
	// when no upload slot of the peer became free in time.
	errPending = errors.New("object is not available yet")
	// errMissing is returned when the peer neither holds nor fetches the object.
	errMissing = errors.New("object is not held")
	// errBusy is returned when the peer gives the request no upload slot. The
	// response then lists other holders of the object.
	errBusy = errors.New("busy")
	// errPeerFailed is returned when the peer failed to fetch the object.
	errPeerFailed = errors.New("peer failed to fetch the object")
)

// peerRequest is a request for an object to a peer.
type peerRequest struct {
	object
	// tier selects what the peer does if it does not hold the object.
	tier tier
	// maxWait is the longest time that the peer may keep the request open.
	maxWait time.Duration
	// waitForSlot makes the peer wait for a free upload slot and then send the
	// object. Otherwise a peer without a free slot lists other holders.
	waitForSlot bool
}

// newHTTPClient returns the HTTP client for requests to peers. The client keeps at
// most maxIdleConnections unused connections.
func newHTTPClient(maxIdleConnections int) *http.Client {
	transport := &http.Transport{
		DialContext:            dial.DialContext,
		DisableCompression:     true,
		MaxResponseHeaderBytes: core.MaxResponseHeadBytes,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnectionsPerPeer,
		IdleConnTimeout:        idleTimeout,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// requestObject sends one request for an object to the peer at addr. If the peer
// responds without the object, the error wraps errPending, errMissing, errBusy
// or errPeerFailed. With errBusy it also returns the holders that the response
// lists.
func (s *Swarm) requestObject(ctx context.Context, addr string, req peerRequest) (body []byte, holders []string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The watchdog cancels the request when no response or no further byte
	// arrives in time.
	watchdog := time.AfterFunc(req.maxWait+s.cfg.ResponseMargin, cancel)
	defer watchdog.Stop()
	resp, err := s.client.Do(s.newRequest(ctx, addr, req))
	if err != nil {
		return nil, nil, core.WrapStep("request object", addr, core.ClipError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		body, err = s.readBody(ctx, resp, addr, watchdog)
		return body, nil, core.WrapStep("read object", addr, err)
	case http.StatusAccepted:
		return nil, nil, core.WrapStep("request object", addr, errPending)
	case http.StatusNotFound:
		return nil, nil, core.WrapStep("request object", addr, errMissing)
	case http.StatusTemporaryRedirect:
		if list := resp.Header.Get(headerHolders); list != "" {
			holders = strings.Split(list, ",")
		}
		return nil, holders, core.WrapStep("request object", addr, errBusy)
	case http.StatusServiceUnavailable:
		return nil, nil, core.WrapStep("request object", addr, errPeerFailed)
	}
	return nil, nil, core.WrapStep("request object", addr, errors.Errorf("status %d", resp.StatusCode))
}

// newRequest builds the HTTP request for requestObject.
func (s *Swarm) newRequest(ctx context.Context, addr string, req peerRequest) *http.Request {
	query := url.Values{}
	query.Set(queryVersion, string(req.version))
	query.Set(queryTier, tierNames[req.tier])
	query.Set(queryWait, req.maxWait.String())
	if req.tier == tierDataCentre {
		query.Set(queryOwners, req.owners)
	}
	if req.waitForSlot {
		query.Set(queryWaitForSlot, "1")
	}
	u := url.URL{Scheme: "http", Host: addr, Path: req.path(), RawQuery: query.Encode()}
	httpReq := (&http.Request{Method: http.MethodGet, URL: &u, Host: addr, Header: http.Header{}}).WithContext(ctx)
	httpReq.Header.Set(core.HeaderPeerToken, s.cfg.Token)
	httpReq.Header.Set(headerPeerAddr, s.cfg.Self.Addr)
	httpReq.Header.Set(headerPeerDataCentre, s.cfg.Self.DataCentre)
	httpReq.Header.Set(headerPeerRegion, s.cfg.Self.Region)
	return httpReq
}

// readBody reads a response body at no more than the limited bandwidth. watchdog
// cancels the request if no byte arrives for Config.StallTimeout.
func (s *Swarm) readBody(ctx context.Context, resp *http.Response, addr string, watchdog *time.Timer) ([]byte, error) {
	size := resp.ContentLength
	if size < 0 || size > maxObjectBytes {
		return nil, errors.Errorf("response has an unacceptable length of %d bytes", size)
	}
	body := make([]byte, size)
	for got := 0; got < len(body); {
		limit := min(maxBytesPerWait, len(body)-got)
		watchdog.Reset(s.cfg.StallTimeout)
		n, err := io.ReadAtLeast(resp.Body, body[got:got+limit], 1)
		if err != nil {
			return nil, err
		}
		got += n
		// Waiting for the local bandwidth limit must not count as a stall of
		// the peer.
		watchdog.Stop()
		if err := s.waitForDownloadBandwidth(ctx, resp.Header.Get(headerPeerRegion), int64(n)); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// waitForDownloadBandwidth waits until the bandwidth limits allow n more bytes
// from region. The bytes have already been received, so the wait delays the next
// read.
func (s *Swarm) waitForDownloadBandwidth(ctx context.Context, region string, n int64) error {
	if region != "" && region != s.cfg.Self.Region {
		if err := s.regionLimiter.Wait(ctx, n); err != nil {
			return err
		}
	}
	return s.downloadLimiter.Wait(ctx, n)
}
