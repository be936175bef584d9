package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/platform"
	"github.com/rattanway/rattanway/process/settings"
	"github.com/rattanway/rattanway/version/manifest"
)

// PublishCmd splits a model's files into chunks and stores them.
type PublishCmd struct {
	Folder        string        `arg:"" help:"Folder with the model's files." type:"existingdir"`
	Platform      string        `help:"Address of the platform, ip:port." env:"RATTANWAY_PLATFORM"`
	PlatformToken string        `help:"Bearer token for the platform; empty for none." env:"RATTANWAY_PLATFORM_TOKEN"`
	ChunkBytes    settings.Int  `help:"Size of a chunk in bytes." default:"4194304" env:"RATTANWAY_CHUNK_BYTES"`
	Base          string        `help:"Manifest digest of the model on which an adapter is based; empty for a full model."`
	Timeout       time.Duration `help:"Longest time for the whole command." default:"30m"`
}

// Run implements the command. It prints the manifest's digest.
func (c *PublishCmd) Run(s *streams) error {
	base, err := c.checkSettings()
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	weights := platform.NewHTTP(platform.Config{Addr: c.Platform, Token: c.PlatformToken}).WeightStore
	_, digest, err := manifest.Publish(ctx, weights, os.DirFS(c.Folder), int64(c.ChunkBytes.Value()), base)
	if err != nil {
		return errors.Wrap(err, "publish")
	}
	_, err = fmt.Fprintln(s.Out, digest)
	return err
}

// checkSettings returns the digest of the base model, and an error that lists
// every wrong setting.
func (c *PublishCmd) checkSettings() (core.Digest, error) {
	const maxChunkBytes = 64 << 20
	var problems settings.Problems
	problems.Add(settings.CheckAddr("--platform", c.Platform))
	problems.Add(c.ChunkBytes.Check("--chunk-bytes", 1024, maxChunkBytes))
	if c.Base == "" {
		return "", problems.Err()
	}
	base, err := core.ParseDigest(c.Base)
	if err != nil {
		problems.Add(settings.Problem{Name: "--base", Value: c.Base, Allowed: "sha256: and 64 hexadecimal digits"})
	}
	return base, problems.Err()
}
