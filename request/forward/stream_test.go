package forward

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// readEvents calls readEvent until the first error, and returns the events and
// this error.
func readEvents(stream []byte) ([][]byte, error) {
	reader := bufio.NewReaderSize(bytes.NewReader(stream), 1<<10)
	var events [][]byte
	for {
		event, err := readEvent(reader)
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

func TestReadEvent(t *testing.T) {
	Convey("An event whose line exactly fills the buffer is read completely", t, func() {
		event := "data: " + strings.Repeat("x", 1<<10-6) + "\n\n"
		events, err := readEvents([]byte(event + "id: 2\n\n"))
		So(err, ShouldEqual, io.EOF)
		So(events, ShouldHaveLength, 2)
		So(string(events[0]), ShouldEqual, event)
	})
	Convey("A stream that ends within an event causes errPartialEvent", t, func() {
		_, err := readEvents([]byte("id: 1\n\nid: 2\n"))
		So(errors.Is(err, errPartialEvent), ShouldBeTrue)
	})
}

// FuzzReadEvent checks that the events, joined, are the beginning of the stream,
// or the whole stream if the reading ended with [io.EOF]. It also checks that
// each event ends at its first empty line.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"))
	f.Add([]byte("id: 1\r\ndata: x\r\n\r\n"))
	f.Add([]byte(strings.Repeat("x", 1<<10) + "\n\n"))
	f.Add([]byte("\n\n\r\n"))
	f.Add([]byte("id: 1"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		events, err := readEvents(stream)
		joined := bytes.Join(events, nil)
		switch {
		case !bytes.HasPrefix(stream, joined):
			t.Fatalf("events %q are not a prefix of the stream %q", joined, stream)
		case errors.Is(err, io.EOF) && len(joined) != len(stream):
			t.Fatalf("events have %d of the %d bytes of the stream", len(joined), len(stream))
		}
		for _, event := range events {
			lines := strings.SplitAfter(string(event), "\n")
			for i, line := range lines[:len(lines)-1] {
				if empty := strings.Trim(line, "\r\n") == ""; empty != (i == len(lines)-2) {
					t.Fatalf("event %q does not end at its first empty line", event)
				}
			}
			_ = eventID(event)
		}
	})
}
