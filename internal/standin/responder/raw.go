package responder

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
)

// sendRaw ends a run with an answer whose framing and end are those of the faults. It closes
// the connection.
func (s *Service) sendRaw(w http.ResponseWriter, run int64, answer Answer, f Faults) {
	body, err := json.Marshal(answer)
	if err != nil {
		panic("responder: an answer can't be encoded")
	}
	sent, outcome := body, Answered
	if f.CutAnswers > 0 && f.CutAfter < len(body) {
		sent, outcome = body[:f.CutAfter], Cut
	}
	if f.CutAnswers > 0 && f.CutByReset {
		// The reset may overtake the last bytes.
		outcome = Cut
	}
	s.end(run, outcome)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Connection", "close")
	if !f.Unframed {
		header.Set("Content-Length", fmt.Sprint(len(body)))
	}
	// A client that has left is no fault of the service.
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(buffered)
	_, _ = buffered.WriteString("\r\n")
	_, _ = buffered.Write(sent)
	_ = buffered.Flush()
	if tcp, ok := conn.(*net.TCPConn); ok && f.CutAnswers > 0 && f.CutByReset {
		_ = tcp.SetLinger(0)
	}
}
