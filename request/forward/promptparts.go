package forward

import (
	"strings"

	"github.com/rattanway/rattanway/request/dispatch"
)

const (
	// maxPromptParts limits how many parts of one prompt are tracked.
	maxPromptParts = 64
	// maxPartIDBytes limits the length of the ID of a tracked part.
	maxPartIDBytes = 64
)

// sharedPromptParts returns the parts of a request's prompt that other requests may
// have as well, from the value of the header [Headers.PromptParts]. The last part
// belongs to the request alone. The name of the model precedes the ID of each part,
// because a server's behaviour depends on both.
func sharedPromptParts(model, header string) []dispatch.PromptPart {
	entries := strings.Split(header, ",")
	var parts []dispatch.PromptPart
	for position, entry := range entries[:min(len(entries)-1, maxPromptParts)] {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		if id == "" || len(id) > maxPartIDBytes {
			continue
		}
		parts = append(parts, dispatch.PromptPart{ID: model + "/" + id, Position: position})
	}
	return parts
}
