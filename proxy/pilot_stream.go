package proxy

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"vetchdoor/runtime"
	"vetchdoor/stream"
)

// Errors for invalid input from a pilot. Their texts are sent to the pilot.
var (
	errSecondWelcome  = errors.New("a second welcome")
	errNotWelcomed    = errors.New("a message before the welcome")
	errWindowExceeded = errors.New("more lines than the window")
)

// pilotStream is one stream to a pilot. It receives commands and queues messages for applyQueued. The connection calls Data
// and Closed.
type pilotStream struct {
	client   *pilotClient
	closed   chan struct{}         // closed when the stream ends
	welcomed chan struct{}         // closed when the pilot's welcome arrives
	queue    chan *runtime.Message // messages that wait for applyQueued

	// Used by Data only, except that applyQueued reads welcome, for messages that arrive after it was set.
	scanner  *runtime.Scanner
	rejected bool // the pilot sent invalid input; further input is ignored
	welcome  runtime.Welcome
	redirect string // address of another pilot named by this one; guarded by client.mu

	mu           sync.Mutex // guards the fields below
	conn         *stream.Conn
	queuedLines  int // lines of the queued messages and of the one being applied
	lastReceived time.Time
}

// newPilotStream returns a stream without a connection; see setConn.
func newPilotStream(client *pilotClient) *pilotStream {
	return &pilotStream{
		client:       client,
		closed:       make(chan struct{}),
		welcomed:     make(chan struct{}),
		queue:        make(chan *runtime.Message, maxQueuedMessages),
		scanner:      runtime.NewScanner(runtime.StreamBounds),
		lastReceived: time.Now(),
	}
}

// setConn records the connection. Both serve and join call it, because the pilot may send its welcome before the dial has
// returned.
func (s *pilotStream) setConn(conn *stream.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
}

// silence returns the time since data was last received.
func (s *pilotStream) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastReceived)
}

// noteReceived records that data was received now.
func (s *pilotStream) noteReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived = time.Now()
}

// Closed is called by the connection when it has ended.
func (s *pilotStream) Closed(*stream.Conn) { close(s.closed) }

// Data processes input from the pilot. The first invalid command ends the stream, and all input after it is ignored.
func (s *pilotStream) Data(c *stream.Conn, b []byte) {
	s.noteReceived()
	if s.rejected {
		return
	}
	s.scanner.Feed(b)
	for {
		line, ok, err := s.scanner.Next()
		if err == nil && !ok {
			return
		}
		if err == nil {
			err = s.handle(c, line[0])
		}
		if err != nil {
			s.reject(c, err)
			return
		}
	}
}

// reject tells the pilot why its input was not accepted, and ends the stream.
func (s *pilotStream) reject(c *stream.Conn, err error) {
	s.client.log.Warn("invalid input from the pilot; closing the stream", "error", err)
	s.rejected = true
	_ = c.Send(runtime.Refused{Reason: err.Error()}.Append(nil))
	c.CloseGracefully()
}

// handle processes one command. It returns an error if the command is invalid.
func (s *pilotStream) handle(c *stream.Conn, cmd runtime.Command) error {
	switch {
	case cmd.HasPrefix("welcome"):
		return s.handleWelcome(c, cmd)
	case cmd.HasPrefix("refused"), cmd.HasPrefix("away"):
		return s.handleGoAway(c, cmd)
	case cmd.HasPrefix("send", "tables"):
		return s.handleSendTables(c, cmd)
	case cmd.HasPrefix("ping"):
		return nil // Data has recorded the arrival
	case cmd.HasPrefix("apply"):
		return s.handleMessage(cmd)
	case s.welcome.WireVersion > runtime.WireVersion:
		s.client.log.Debug("ignoring a command of a later protocol version", "command", cmd.String())
		return nil
	}
	return fmt.Errorf("not a command of a pilot's stream: %s", cmd)
}

// handleWelcome makes this stream the current one.
func (s *pilotStream) handleWelcome(c *stream.Conn, cmd runtime.Command) error {
	welcome, err := runtime.ParseWelcome(cmd)
	if err != nil {
		return err
	}
	if isClosed(s.welcomed) {
		return errSecondWelcome
	}
	if s.client.join(s, c, welcome) {
		s.client.log.Info("joined a pilot", "pilot", welcome.Pilot, "run", welcome.Run, "resumed", welcome.Resumed)
	}
	return nil
}

// handleGoAway closes the stream at the pilot's request, and records the pilot that the proxy is redirected to, if any.
func (s *pilotStream) handleGoAway(c *stream.Conn, cmd runtime.Command) error {
	away, err := runtime.ParseGoAway(cmd)
	if err != nil {
		return err
	}
	s.client.mu.Lock()
	s.redirect = away.Redirect
	s.client.mu.Unlock()
	s.client.log.Info("the pilot ended the stream", "reason", away.Reason, "try", away.Redirect)
	c.Close()
	return nil
}

// handleSendTables sends the lines of the requested tables. Tables that are no longer in force are skipped.
func (s *pilotStream) handleSendTables(c *stream.Conn, cmd runtime.Command) error {
	requested, err := runtime.ParseTableRequest(cmd)
	if err != nil {
		return err
	}
	held := s.client.proxy.current.Load()
	for _, digest := range requested {
		if table := held.tableByDigest(digest); table != nil {
			contents := runtime.TableContents{Digest: digest, Lines: table.wireLines()}
			_ = c.Send(contents.Append(nil))
		}
	}
	return nil
}

// handleMessage queues a message for applyQueued. It returns an error if the pilot has not welcomed the proxy or exceeds the
// window.
func (s *pilotStream) handleMessage(cmd runtime.Command) error {
	if !isClosed(s.welcomed) {
		return errNotWelcomed
	}
	m, err := runtime.ParseMessage(cmd)
	if err != nil {
		return err
	}
	if !s.reserveLines(m.Lines) {
		return errWindowExceeded
	}
	select {
	case s.queue <- m:
		return nil
	default:
		return errWindowExceeded
	}
}

// reserveLines reserves window space for a message. It returns false if there is not enough; a message may always exceed an
// empty window.
func (s *pilotStream) reserveLines(lines int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedLines > 0 && s.queuedLines+lines > maxQueuedLines {
		return false
	}
	s.queuedLines += lines
	return true
}

// releaseLines returns the window space of a message that has been applied.
func (s *pilotStream) releaseLines(lines int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedLines -= lines
}

// isClosed reports whether c is closed. Nothing is ever sent on c.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
