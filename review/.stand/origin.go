package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The weights have the sizes of the site file.
const (
	modelName  = "m0"
	chunkCount = 48
	chunkBytes = 49152
	layerCount = 16
)

// chunk returns a piece of a version of the weights.
func chunk(version, number int) []byte {
	text := fmt.Sprintf("%04d/%04d;", version, number)
	return []byte(strings.Repeat(text, chunkBytes/len(text)+1)[:chunkBytes])
}

// origin is a stand-in for the service with the weights.
type origin struct {
	mu sync.Mutex
	// spoilManifests is the number of manifest answers that are still to be spoiled: one
	// digit of one digest is another one.
	spoilManifests int
	// manifests, pieces and spoiled count the answers since countAnew.
	manifests, pieces, spoiled int
	record                     *recorder
	// bytesPerSecond is the bandwidth of the link, for all pieces together; 0 means that
	// it is not limited. linkFreeAt is when the link has sent what it has taken.
	bytesPerSecond float64
	linkFreeAt     time.Time
}

func (o *origin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanway/manifest/{id}", func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		digests := make([]string, chunkCount)
		for i := range digests {
			sum := sha256.Sum256(chunk(version, i))
			digests[i] = hex.EncodeToString(sum[:])
		}
		o.mu.Lock()
		o.manifests++
		spoil := o.spoilManifests > 0
		if spoil {
			o.spoilManifests--
			o.spoiled++
			digests[7] = flipDigit(digests[7])
		}
		o.mu.Unlock()
		o.record.add("origin: manifest of version %d sent, spoiled: %v", version, spoil)
		_ = json.NewEncoder(w).Encode(map[string]any{
			"model": r.PathValue("id"), "version": version, "chunkBytes": chunkBytes, "layers": layerCount, "digests": digests,
		})
	})
	mux.HandleFunc("GET /rattanway/piece/{id}", func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		number, _ := strconv.Atoi(r.URL.Query().Get("number"))
		o.mu.Lock()
		o.pieces++
		o.mu.Unlock()
		o.waitForLink(chunkBytes)
		_, _ = w.Write(chunk(version, number))
	})
	return mux
}

// waitForLink waits until the link has sent n more bytes.
func (o *origin) waitForLink(n int) {
	o.mu.Lock()
	if o.bytesPerSecond <= 0 {
		o.mu.Unlock()
		return
	}
	if now := time.Now(); o.linkFreeAt.Before(now) {
		o.linkFreeAt = now
	}
	o.linkFreeAt = o.linkFreeAt.Add(time.Duration(float64(n) / o.bytesPerSecond * float64(time.Second)))
	until := o.linkFreeAt
	o.mu.Unlock()
	time.Sleep(time.Until(until))
}

// flipDigit changes the tenth hexadecimal digit.
func flipDigit(digest string) string {
	digit := byte('0')
	if digest[9] == digit {
		digit = '1'
	}
	return digest[:9] + string(digit) + digest[10:]
}

// countAnew resets the counts and sets the number of manifest answers to spoil.
func (o *origin) countAnew(spoil int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manifests, o.pieces, o.spoiled, o.spoilManifests = 0, 0, 0, spoil
}

func (o *origin) counts() (answers, spoiled int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.manifests + o.pieces, o.spoiled
}
