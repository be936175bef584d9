package spread

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/rattanway/rattanway/version/manifest"
	"github.com/rattanway/rattanway/version/spread"
)

// relayConcurrency is the number of chunks that a relay requests at once.
const relayConcurrency = 4

// relay is a machine of a chain or tree. It reads every chunk from its parent, or
// from the origin if it is the root, and serves a chunk as soon as the chunk has
// arrived.
type relay struct {
	chunks                         []manifest.Chunk
	bodies                         [][]byte
	arrived                        []chan struct{} // closed when the chunk with this index is in bodies
	parentAddr                     string          // empty for the root
	origin                         *origin
	uploadLimiter, downloadLimiter *spread.BandwidthLimiter
	server                         *http.Server
}

// ServeHTTP serves requests for "/N": it waits until the chunk with index N has
// arrived, and sends this chunk.
func (r *relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	i, err := strconv.Atoi(req.URL.Path[1:])
	if err != nil || i >= len(r.chunks) {
		http.NotFound(w, req)
		return
	}
	select {
	case <-r.arrived[i]:
	case <-req.Context().Done():
		return
	}
	if r.uploadLimiter.Wait(req.Context(), r.chunks[i].Size) != nil {
		return
	}
	_, _ = w.Write(r.bodies[i])
}

// fetchChunk reads chunk i from the parent or the origin.
func (r *relay) fetchChunk(ctx context.Context, i int) ([]byte, error) {
	if r.parentAddr == "" {
		return r.origin.Get(ctx, manifest.ChunkName(r.chunks[i].Digest), 0, -1)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.parentAddr+"/"+strconv.Itoa(i), nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

// fetchAll reads all chunks, relayConcurrency at a time.
func (r *relay) fetchAll(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(relayConcurrency)
	for i, chunk := range r.chunks {
		group.Go(func() error {
			body, err := r.fetchChunk(ctx, i)
			if err != nil {
				return err
			}
			if !chunk.Digest.Matches(body) {
				return errors.New("the chunk does not match its digest")
			}
			if err := r.downloadLimiter.Wait(ctx, chunk.Size); err != nil {
				return err
			}
			r.bodies[i] = body
			close(r.arrived[i])
			return nil
		})
	}
	return group.Wait()
}

// runTree measures a tree of n relays with the given fan-out in one region. A
// fan-out of 1 makes a chain.
func runTree(opt Options, name string, n, fanout int) (Row, error) {
	t, err := newTestbed(opt, 0, 1)
	if err != nil {
		return Row{}, err
	}
	defer t.close()
	chunks := t.manifest.Chunks()
	var relays []*relay
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return Row{}, err
		}
		r := &relay{
			chunks: chunks, bodies: make([][]byte, len(chunks)), arrived: make([]chan struct{}, len(chunks)),
			origin: t.origin, uploadLimiter: spread.NewBandwidthLimiter(opt.machineRate()), downloadLimiter: spread.NewBandwidthLimiter(opt.machineRate()),
		}
		for j := range r.arrived {
			r.arrived[j] = make(chan struct{})
		}
		if i > 0 {
			r.parentAddr = relays[(i-1)/fanout].server.Addr
		}
		r.server = &http.Server{Handler: r, Addr: listener.Addr().String(), ReadHeaderTimeout: time.Minute}
		defer func() { _ = r.server.Close() }()
		go func() { _ = r.server.Serve(listener) }()
		relays = append(relays, r)
	}
	start := time.Now()
	group, ctx := errgroup.WithContext(t.ctx)
	for _, r := range relays {
		group.Go(func() error { return r.fetchAll(ctx) })
	}
	err = group.Wait()
	row := Row{Way: name, Agents: n, Regions: 1, Time: time.Since(start).Seconds() / opt.CopyTime.Seconds()}
	row.Origin = float64(t.origin.sentBytes.Load()) / float64(opt.CopyBytes)
	row.MaxSent = float64(min(fanout, n-1))
	return row, err
}
