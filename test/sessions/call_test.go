package sessions

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"
)

// callCommand makes an HTTP call and prints the status and the body of the
// response. With --within it retries the call until the response has the
// expected status and body.
type callCommand struct {
	Key     string        `help:"Key of a client account or token of an operator."`
	Header  []string      `short:"H" sep:"none" help:"Header, 'Name: value'."`
	Expect  int           `help:"Expected status; 0 for any."`
	Matches string        `help:"Regular expression that the body must match."`
	Within  time.Duration `help:"How long to retry the call until the response is as expected."`
	Print   string        `help:"Print only the first match of this regular expression in the body."`
	Times   int           `help:"Number of calls to make at once." default:"1"`
	Method  string        `arg:""`
	URL     string        `arg:""`
	Body    string        `arg:"" optional:""`
}

// callMain runs the command "call" of the test scripts. It prints the response to
// the first call, and exits with status 1 if one of the calls failed.
func callMain() {
	var c callCommand
	kong.Parse(&c)
	var calls errgroup.Group
	for range c.Times - 1 {
		calls.Go(func() error {
			_, _, err := c.callUntilExpected()
			return err
		})
	}
	status, body, err := c.callUntilExpected()
	if c.Print != "" {
		body = regexp.MustCompile(c.Print).FindString(body) + "\n"
	}
	fmt.Println(status)
	fmt.Print(body)
	if otherErr := calls.Wait(); err == nil {
		err = otherErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// callUntilExpected retries the call until the response is as expected or Within
// has passed. It returns the last response, and an error if this response is not as
// expected.
func (c *callCommand) callUntilExpected() (status int, body string, err error) {
	bodyPattern := regexp.MustCompile(c.Matches)
	deadline := time.Now().Add(c.Within)
	for {
		status, body, err = c.callOnce()
		if err == nil && (c.Expect == 0 || status == c.Expect) && bodyPattern.MatchString(body) {
			return status, body, nil
		}
		if time.Now().After(deadline) {
			return status, body, fmt.Errorf("not as expected: status %d, %w", status, err)
		}
		<-time.After(20 * time.Millisecond)
	}
}

// callOnce makes the call. It returns an error if the response is cut off.
func (c *callCommand) callOnce() (status int, body string, err error) {
	req, err := http.NewRequest(c.Method, "http://"+c.URL, strings.NewReader(c.Body))
	if err != nil {
		return 0, "", err
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.Body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	for _, h := range c.Header {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}
