package mesh

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/dissemination"
)

const endpointPath = "/mesh"

// CompressionThreshold is the size in bytes from which messages are compressed.
// Whole lists and their parts are compressed, heartbeats are not.
const CompressionThreshold = 4096

// Mesh manages the links of one process. It is safe for concurrent use.
type Mesh struct {
	config     Config
	onEvent    func(context.Context, dissemination.Event)
	httpClient *http.Client
	counts     *counters

	mu              sync.Mutex
	ctx             context.Context
	links           map[dissemination.LinkID]*link
	nextInboundLink dissemination.LinkID
}

// New returns a mesh that passes events to onEvent. A link blocks while onEvent
// runs, so that a fast peer is slowed down and no event is lost.
func New(config Config, onEvent func(context.Context, dissemination.Event)) *Mesh {
	transport := &http.Transport{
		TLSClientConfig:     clientTLS(config.TLS),
		TLSHandshakeTimeout: config.OpenTimeout,
		DisableKeepAlives:   true,
		DialContext:         newDialer(config.Address.Addr()).DialContext,
	}
	return &Mesh{
		config:          config,
		onEvent:         onEvent,
		httpClient:      &http.Client{Transport: transport},
		counts:          newCounters(),
		links:           make(map[dissemination.LinkID]*link),
		nextInboundLink: 2,
	}
}

// newDialer returns a dialer that connects from the process's own IP address,
// by which peers and packet filters identify it.
func newDialer(localIP netip.Addr) *net.Dialer {
	if !localIP.IsValid() || localIP.IsUnspecified() {
		return &net.Dialer{}
	}
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: localIP.AsSlice()}}
}

// Run accepts links until ctx ends, then closes all links.
func (m *Mesh) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", m.config.Address.String())
	if err != nil {
		return &LinkError{Cause: "listen", Err: err}
	}
	return m.Serve(ctx, listener)
}

// Serve is like Run, but accepts links on the given listener.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc(endpointPath, m.accept)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: m.config.OpenTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(newHandshakeListener(listener, m.config, m.counts))
	m.closeAll()
	if ctx.Err() != nil {
		return nil
	}
	return &LinkError{Cause: "listen", Err: err}
}

// Open opens a link to the peer in the background. It reports the result as a
// LinkOpened or LinkClosed event.
func (m *Mesh) Open(dial dissemination.Dial) {
	go m.dial(m.context(), dial)
}

// Apply performs an action of a dissemination.Replica. It ignores actions
// that do not concern links.
func (m *Mesh) Apply(action dissemination.Action) {
	switch action := action.(type) {
	case dissemination.Dial:
		m.Open(action)
	case dissemination.Send:
		m.Send(action.Link, action.Message)
	case dissemination.Close:
		m.Close(action.Link)
	}
}

// context returns the context passed to Run or Serve, or the background context
// before that.
func (m *Mesh) context() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil {
		return context.Background()
	}
	return m.ctx
}

// Send queues a message. If the queue is full, the peer is too slow and the
// link is closed.
func (m *Mesh) Send(id dissemination.LinkID, message dissemination.Message) {
	l := m.link(id)
	if l == nil {
		return
	}
	data, err := dissemination.Encode(message)
	if err != nil {
		return
	}
	select {
	case l.queue <- data:
	default:
		m.counts.countRefused(causeSendQueueFull)
		l.close()
	}
}

// Close closes a link normally: the peer's LinkClosed event is graceful.
func (m *Mesh) Close(id dissemination.LinkID) {
	if l := m.link(id); l != nil {
		go func() { _ = l.conn.Close(websocket.StatusNormalClosure, "") }()
	}
}

func (m *Mesh) link(id dissemination.LinkID) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[id]
}

func (m *Mesh) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.close()
	}
}

func (m *Mesh) dial(ctx context.Context, dial dissemination.Dial) {
	conn, hello, err := m.connect(ctx, dial.Peer.Mesh, dial.Hello)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		cause := causeDial
		if refused {
			cause = causeConnectionRefused
		}
		m.counts.countRefused(cause)
		m.onEvent(ctx, dissemination.LinkClosed{Link: dial.Link, Refused: refused})
		return
	}
	m.serveLink(ctx, dial.Link, conn, dissemination.LinkOpened{Link: dial.Link, Hello: hello})
}

func (m *Mesh) connect(ctx context.Context, addr netip.AddrPort, hello dissemination.Hello) (*websocket.Conn, dissemination.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.OpenTimeout)
	defer cancel()
	options := &websocket.DialOptions{
		HTTPClient:           m.httpClient,
		CompressionMode:      websocket.CompressionNoContextTakeover,
		CompressionThreshold: CompressionThreshold,
	}
	conn, _, err := websocket.Dial(ctx, "wss://"+addr.String()+endpointPath, options)
	if err != nil {
		return nil, dissemination.Hello{}, &LinkError{Cause: causeDial, Err: err}
	}
	conn.SetReadLimit(dissemination.MaxMessage)
	peerHello, err := exchangeHello(ctx, conn, hello)
	if err != nil {
		_ = conn.CloseNow()
		return nil, dissemination.Hello{}, err
	}
	return conn, peerHello, nil
}

// exchangeHello sends a Hello and waits for the peer's.
func exchangeHello(ctx context.Context, conn *websocket.Conn, hello dissemination.Hello) (dissemination.Hello, error) {
	data, err := dissemination.Encode(dissemination.Message{Hello: &hello})
	if err != nil {
		return dissemination.Hello{}, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return dissemination.Hello{}, &LinkError{Cause: causeHello, Err: err}
	}
	return readHello(ctx, conn)
}

func readHello(ctx context.Context, conn *websocket.Conn) (dissemination.Hello, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return dissemination.Hello{}, &LinkError{Cause: causeHello, Err: err}
	}
	message, err := dissemination.Decode(data)
	if err != nil {
		return dissemination.Hello{}, err
	}
	if message.Hello == nil {
		return dissemination.Hello{}, &dissemination.MessageError{Cause: causeHello}
	}
	return *message.Hello, nil
}

func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode:      websocket.CompressionNoContextTakeover,
		CompressionThreshold: CompressionThreshold,
	})
	if err != nil {
		m.counts.countRefused(causeUpgrade)
		return
	}
	conn.SetReadLimit(dissemination.MaxMessage)
	ctx, cancel := context.WithTimeout(r.Context(), m.config.OpenTimeout)
	hello, err := readHello(ctx, conn)
	cancel()
	if err != nil {
		m.counts.countRefused(messageErrorCause(err))
		_ = conn.CloseNow()
		return
	}
	m.mu.Lock()
	id := m.nextInboundLink
	m.nextInboundLink += 2
	m.mu.Unlock()
	m.serveLink(m.context(), id, conn, dissemination.LinkOpened{Link: id, Hello: hello, Inbound: true})
}

// messageErrorCause returns the cause under which the error of a received
// message is counted.
func messageErrorCause(err error) string {
	var message *dissemination.MessageError
	if errors.As(err, &message) {
		return message.Cause
	}
	return causeHello
}

// serveLink serves a link until it ends.
func (m *Mesh) serveLink(ctx context.Context, id dissemination.LinkID, conn *websocket.Conn, opened dissemination.LinkOpened) {
	linkCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &link{
		id:     id,
		conn:   conn,
		queue:  make(chan []byte, m.config.SendQueueSize),
		cancel: cancel,
		mesh:   m,
	}
	if opened.Inbound {
		l.queueHello(m.config.Hello)
	}
	m.mu.Lock()
	m.links[id] = l
	m.mu.Unlock()
	m.counts.addOpenLinks(1)
	m.onEvent(ctx, opened)
	go l.writeLoop(linkCtx, m.config.WriteTimeout)
	graceful := l.readLoop(linkCtx)
	m.mu.Lock()
	delete(m.links, id)
	m.mu.Unlock()
	m.counts.addOpenLinks(-1)
	m.onEvent(ctx, dissemination.LinkClosed{Link: id, Graceful: graceful})
}

// link is one WebSocket connection.
type link struct {
	id     dissemination.LinkID
	conn   *websocket.Conn
	queue  chan []byte
	cancel context.CancelFunc
	mesh   *Mesh
}

func (l *link) close() {
	l.cancel()
}

func (l *link) queueHello(hello dissemination.Hello) {
	if data, err := dissemination.Encode(dissemination.Message{Hello: &hello}); err == nil {
		l.queue <- data
	}
}

// readLoop passes on messages until the link ends, and reports whether the peer
// closed it normally. An invalid message ends the link.
func (l *link) readLoop(ctx context.Context) bool {
	defer l.cancel()
	defer func() { _ = l.conn.CloseNow() }()
	for {
		kind, data, err := l.conn.Read(ctx)
		if err != nil {
			return websocket.CloseStatus(err) == websocket.StatusNormalClosure
		}
		l.mesh.counts.countMessage(true, len(data))
		if kind != websocket.MessageBinary {
			l.mesh.counts.countRefused(causeTextMessage)
			return false
		}
		message, err := dissemination.Decode(data)
		if err != nil {
			l.mesh.counts.countRefused(messageErrorCause(err))
			return false
		}
		l.mesh.onEvent(ctx, dissemination.Received{Link: l.id, Message: message})
	}
}

func (l *link) writeLoop(ctx context.Context, timeout time.Duration) {
	defer l.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-l.queue:
			if err := l.writeMessage(ctx, data, timeout); err != nil {
				l.mesh.counts.countRefused(causeWrite)
				return
			}
			l.mesh.counts.countMessage(false, len(data))
		}
	}
}

func (l *link) writeMessage(ctx context.Context, data []byte, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.conn.Write(ctx, websocket.MessageBinary, data)
}
