package forward

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/rattanway/rattanway/request/dispatch"
)

const (
	// wholeRequestPrefix begins the ID of a request as a whole. The IDs of prompt parts
	// contain a slash, these do not.
	wholeRequestPrefix = "request:"
	// fingerprintBytes is the length of a fingerprint.
	fingerprintBytes = 16
)

// fingerprint returns a keyed hash of what a request of a client account asks for; body is its
// body in parts. All
// entry instances have the same key, so equal requests have the same fingerprint at each
// of them; without the key, it tells nothing about the request.
func fingerprint(key []byte, account string, r *http.Request, body ...[]byte) string {
	mac := hmac.New(sha256.New, key)
	for _, field := range []string{account, r.Method, r.Host, r.RequestURI} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = mac.Write(length[:]) // a hash returns no error
		_, _ = io.WriteString(mac, field)
	}
	for _, part := range body {
		_, _ = mac.Write(part)
	}
	return hex.EncodeToString(mac.Sum(nil)[:fingerprintBytes])
}

// wholeRequest returns the part that stands for the request as a whole.
func (c *call) wholeRequest() dispatch.PromptPart {
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	return dispatch.PromptPart{
		ID:       wholeRequestPrefix + fingerprint(c.cfg.FingerprintKey, account, c.httpReq, c.body.Parts()...),
		Position: dispatch.WholeRequest,
	}
}
