package operators

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"toucanway/io/backend"
)

// maxEventLine bounds the bytes of one line of the watch stream.
const maxEventLine = 1 << 20

// Watch calls each for the changes after a log index until ctx ends, each returns an error or the stream ends. Heartbeats
// are also passed to each. Watch uses the first address that answers and does not reconnect; to continue, call it again
// with the last index received.
func (c *Client) Watch(ctx context.Context, after uint64, each func(EventAnswer) error) error {
	var errs error
	for _, address := range c.cfg.Addresses {
		began, err := c.watchOne(ctx, address, after, each)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if began {
			return err
		}
		errs = errors.Join(errs, fmt.Errorf("%s: %w", address, err))
	}
	return &Unreachable{Err: errs}
}

// watchOne watches one host. It reports whether the host answered, and the error that ended the stream.
func (c *Client) watchOne(ctx context.Context, address string, after uint64, each func(EventAnswer) error) (bool, error) {
	req := c.newRequest(address, fasthttp.MethodGet, PathWatch+"?after="+strconv.FormatUint(after, 10))
	defer fasthttp.ReleaseRequest(req)
	// The end of the context closes the connection.
	x, err := c.pool.Do(ctx, address, req, backend.Options{IdleTimeout: watchIdleTimeout, NewConnection: true, DialTimeout: dialTimeout})
	if err != nil {
		return false, err
	}
	defer x.Abort()
	if status := x.Response.StatusCode(); status >= fasthttp.StatusBadRequest {
		body, err := readBody(x)
		if err != nil {
			return true, err
		}
		return true, decodeAnswer(status, body, nil)
	}
	lines := bufio.NewScanner(x)
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		var line struct {
			EventAnswer
			Error *Error `json:"error"`
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return true, ErrProtocol.Wrap(err, "watch stream cannot be decoded; use a client of the same version as the host")
		}
		if line.Error != nil {
			return true, line.Error
		}
		if err := each(line.EventAnswer); err != nil {
			return true, err
		}
	}
	if err := lines.Err(); err != nil {
		return true, ErrProtocol.Wrap(err, "watch stream broke; watch again from the last index")
	}
	return true, nil
}
