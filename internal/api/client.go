package api

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
)

// Limits of the client.
const (
	// DefaultClientTimeout limits one call. It is longer than the time within
	// which a host answers any request.
	DefaultClientTimeout = ApplyTimeout + 5*time.Second
	dialTimeout          = 3 * time.Second
	maxReplyBytes        = 64 << 20
)

// Client calls the HTTP interface of one host. It is safe for concurrent use.
type Client struct {
	host   string // ip:port
	scheme string
	token  string
	http   *http.Client
}

// UseToken makes the client send a bearer token with each request.
func (c *Client) UseToken(token string) { c.token = token }

// UseTLS makes the client use TLS with the given configuration.
func (c *Client) UseTLS(cfg *tls.Config) {
	c.scheme = "https"
	c.http.Transport.(*http.Transport).TLSClientConfig = cfg
}

// NewClient returns a client of the host at ip:port. Each call is limited by
// timeout.
func NewClient(host string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{host: host, scheme: "http", http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Announce sends an announcement.
func (c *Client) Announce(ctx context.Context, a dbedge.Announcement) (dbedge.AnnounceReply, error) {
	var reply dbedge.AnnounceReply
	body, err := json.Marshal(a)
	if err != nil {
		return reply, err
	}
	err = c.call(ctx, http.MethodPost, PathAnnounce, body, &reply)
	return reply, err
}

// Apply sends the text of a document. It is idempotent: if a reply is lost and
// the document is sent again, the result is Unchanged.
func (c *Client) Apply(ctx context.Context, src []byte) (ApplyReply, error) {
	var reply ApplyReply
	err := c.call(ctx, http.MethodPost, PathDocuments, src, &reply)
	return reply, err
}

// Status returns the host's view of the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var reply Status
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &reply)
	return reply, err
}

// Explain returns how the host would route a request now.
func (c *Client) Explain(ctx context.Context, q ExplainQuery) (Explanation, error) {
	values := url.Values{"service": {q.Service}}
	if q.Class != "" {
		values.Set("class", q.Class)
	}
	if q.Key != "" {
		values.Set("key", q.Key)
	}
	var reply Explanation
	err := c.call(ctx, http.MethodGet, PathExplain+"?"+values.Encode(), nil, &reply)
	return reply, err
}

// call sends one request and decodes its reply. The error is a *RemoteError if
// the host replied with an error, and an *UnreachableError if no complete reply
// was received.
func (c *Client) call(ctx context.Context, method, path string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+c.host+path, bytes.NewReader(body))
	if err != nil {
		return &UnreachableError{Host: c.host, Cause: err}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnreachableError{Host: c.host, Cause: err}
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return &UnreachableError{Host: c.host, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return remoteError(resp.StatusCode, respBody)
	}
	if err := json.Unmarshal(respBody, reply); err != nil {
		return &UnreachableError{Host: c.host, Cause: fmt.Errorf("the answer cannot be read: %w", err)}
	}
	return nil
}

// remoteError decodes the error reply of a host. A body that is not an error
// reply becomes the message of an internal error.
func remoteError(status int, body []byte) error {
	var reply ErrorReply
	if err := json.Unmarshal(body, &reply); err != nil || reply.Error.Kind == "" {
		reply.Error = ErrorBody{Kind: "internal", Message: fmt.Sprintf("%.200q", body), Effect: "unknown"}
	}
	return &RemoteError{Status: status, Body: reply.Error}
}
