package http1

import (
	"bytes"
	"strconv"
)

var reasons = map[int]string{
	200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	413: "Content Too Large", 414: "URI Too Long", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

// UnrunHeader marks a refusal by a server as proof that the op did not run.
const UnrunHeader = "Op-Unrun"

// AppendStatus appends the status line of a response; its fields follow.
func AppendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	reason := reasons[status]
	if reason == "" {
		reason = "Status"
	}
	return append(append(b, reason...), "\r\n"...)
}

// AppendRequest appends the first line of a request; its fields follow.
func AppendRequest(b, method, target []byte) []byte {
	b = append(append(b, method...), ' ')
	return append(append(b, target...), " HTTP/1.1\r\n"...)
}

// AddConnectionClose returns a response with a field that says that its connection closes after it.
func AddConnectionClose(response []byte) []byte {
	end := bytes.IndexByte(response, '\n') + 1
	b := make([]byte, 0, len(response)+32)
	b = append(b, response[:end]...)
	b = AppendField(b, "Connection", "close")
	return append(b, response[end:]...)
}

// AppendField appends one field. Name and value are the caller's to keep free of line ends.
func AppendField[T ~string | ~[]byte](b []byte, name string, value T) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// AppendBody ends the head and appends a body of known length.
func AppendBody(b, body []byte) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// AppendAnswer ends the head of a response that is passed on and appends its body. One without a body by its nature, to a
// HEAD request or of status 204 or 304, keeps the length that its server stated, if that may be stated at all.
func AppendAnswer(b []byte, m *Message, head bool) []byte {
	if !head && m.Status != 204 && m.Status != 304 {
		return AppendBody(b, m.Body)
	}
	if n := m.Get("Content-Length"); n != nil && m.Status != 204 {
		b = AppendField(b, "Content-Length", n)
	}
	return append(b, "\r\n"...)
}

// hops are the fields that belong to one connection and are never passed on (RFC 9110, 7.6.1); an Expect has been met by
// then, for a request is whole before it travels on.
var hops = []string{"Connection", "Proxy-Connection", "Keep-Alive", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect"}

// AppendForwarded appends the fields of a message that may travel on: those of the connection, those that a Connection
// field names and the length, which AppendBody writes anew, stay behind.
func AppendForwarded(b []byte, m *Message) []byte {
	var named []byte
	for _, f := range m.Fields {
		if equalFold(f.Name, "Connection") {
			named = append(append(named, f.Value...), ',')
		}
	}
	for _, f := range m.Fields {
		if ownHop(f.Name) || listed(named, f.Name) {
			continue
		}
		b = append(append(b, f.Name...), ": "...)
		b = append(append(b, f.Value...), "\r\n"...)
	}
	return b
}

func ownHop(name []byte) bool {
	for _, h := range hops {
		if equalFold(name, h) {
			return true
		}
	}
	return false
}

// listed tells whether a comma-separated list holds a name.
func listed(list, name []byte) bool {
	for len(list) > 0 {
		end := 0
		for end < len(list) && list[end] != ',' {
			end++
		}
		opt := list[:end]
		for len(opt) > 0 && (opt[0] == ' ' || opt[0] == '\t') {
			opt = opt[1:]
		}
		for len(opt) > 0 && (opt[len(opt)-1] == ' ' || opt[len(opt)-1] == '\t') {
			opt = opt[:len(opt)-1]
		}
		if len(opt) > 0 && equalFold(opt, string(name)) {
			return true
		}
		list = list[min(end+1, len(list)):]
	}
	return false
}
