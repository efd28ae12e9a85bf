package member

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"cairnbay/gen/cairnbay/v1/cairnbayv1connect"
)

// Times of connections between members.
const (
	dialTimeout = time.Second
	// pingAfter is the time without a received frame after which a ping is sent.
	pingAfter = 5 * time.Second
	// pingTimeout closes a connection that has not answered a ping.
	pingTimeout = 2 * time.Second
	// keepAlivePeriod is the period of TCP keepalive probes.
	keepAlivePeriod = 10 * time.Second
)

// DialerConfig configures a Dialer.
type DialerConfig struct {
	// TLS encrypts connections; nil uses h2 without encryption.
	TLS *tls.Config
	// DialContext opens a connection; nil uses a net.Dialer with keepalive.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// WrapConn may wrap a new connection; nil leaves it unchanged.
	WrapConn func(conn net.Conn) net.Conn
	// WrapTransport may add trace spans to each call; nil adds none.
	WrapTransport func(inner http.RoundTripper) http.RoundTripper
}

// Dialer creates clients for calls to members.
type Dialer struct {
	config DialerConfig
}

// NewDialer returns a dialer.
func NewDialer(config DialerConfig) *Dialer {
	return &Dialer{config: config}
}

// Dial returns a client with its own h2 connection, which the first call opens. A
// connection that does not answer a ping is replaced.
func (d *Dialer) Dial(address string) cairnbayv1connect.MemberServiceClient {
	protocols := new(http.Protocols)
	scheme := "http"
	if d.config.TLS != nil {
		scheme = "https"
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	var transport http.RoundTripper = &http.Transport{
		DialContext:     d.dialConn,
		TLSClientConfig: d.config.TLS.Clone(),
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		IdleConnTimeout: time.Minute,
	}
	if d.config.WrapTransport != nil {
		transport = d.config.WrapTransport(transport)
	}
	client := &http.Client{Transport: transport}
	return cairnbayv1connect.NewMemberServiceClient(client, scheme+"://"+address)
}

func (d *Dialer) dialConn(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.connect()(ctx, network, address)
	if err != nil || d.config.WrapConn == nil {
		return conn, err
	}
	return d.config.WrapConn(conn), nil
}

func (d *Dialer) connect() func(ctx context.Context, network, address string) (net.Conn, error) {
	if d.config.DialContext != nil {
		return d.config.DialContext
	}
	dialer := &net.Dialer{KeepAlive: keepAlivePeriod}
	return dialer.DialContext
}
