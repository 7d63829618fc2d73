package http1

import (
	"bytes"
	"strconv"
)

// reasonPhrases are the reason phrases of the statuses that are sent, by status.
var reasonPhrases = map[int]string{
	200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	413: "Content Too Large", 414: "URI Too Long", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

// A response with StatusUnrun and the field UnrunHeader states that the op was rejected without running it.
const (
	StatusUnrun = 503
	UnrunHeader = "Op-Unrun"
)

// IsUnrun reports whether a response states that the op was rejected without running it.
func (m *Message) IsUnrun() bool { return m.Status == StatusUnrun && len(m.Get(UnrunHeader)) > 0 }

// AppendStatus appends the status line of a response. The caller appends the fields next.
func AppendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	phrase := reasonPhrases[status]
	if phrase == "" {
		phrase = "Status"
	}
	return append(append(b, phrase...), "\r\n"...)
}

// AppendRequest appends the first line of a request. The caller appends the fields next.
func AppendRequest(b, method, target []byte) []byte {
	b = append(append(b, method...), ' ')
	return append(append(b, target...), " HTTP/1.1\r\n"...)
}

// AddConnectionClose returns a copy of a response with a field that announces that the connection closes after it.
func AddConnectionClose(response []byte) []byte {
	end := bytes.IndexByte(response, '\n') + 1
	b := make([]byte, 0, len(response)+32)
	b = append(b, response[:end]...)
	b = AppendField(b, "Connection", "close")
	return append(b, response[end:]...)
}

// HeadOf returns the head of a complete response, with the empty line after it. Its Content-Length field stays: in an answer
// to a HEAD request it states what the answer to a GET would have (RFC 9110, 9.3.2).
func HeadOf(response []byte) []byte {
	head, _, found := bytes.Cut(response, []byte("\r\n\r\n"))
	if !found {
		return response
	}
	return response[:len(head)+len("\r\n\r\n")]
}

// AppendField appends one field. The caller must ensure that name and value contain no line ends.
func AppendField[T ~string | ~[]byte](b []byte, name string, value T) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// AppendBody appends a Content-Length field, the end of the head, and the body.
func AppendBody(b, body []byte) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// AppendForwardedBody appends the end of the head of a forwarded response, and its body. A response that has no body by
// definition, to a HEAD request (isHead) or with status 204 or 304, keeps the Content-Length that its server stated, except
// with status 204, where the field is not allowed.
func AppendForwardedBody(b []byte, m *Message, isHead bool) []byte {
	if !isHead && m.Status != 204 && m.Status != 304 {
		return AppendBody(b, m.Body)
	}
	if n := m.Get("Content-Length"); n != nil && m.Status != 204 {
		b = AppendField(b, "Content-Length", n)
	}
	return append(b, "\r\n"...)
}

// hopByHopFields are the fields that apply to one connection and are never forwarded (RFC 9110, 7.6.1). Content-Length is
// among them because AppendBody writes it anew, and Expect because a request is forwarded only once it has been received
// completely.
var hopByHopFields = []string{"Connection", "Proxy-Connection", "Keep-Alive", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect"}

// AppendForwardedFields appends the fields of a message that may be forwarded: all except the hop-by-hop fields and those
// that a Connection field names.
func AppendForwardedFields(b []byte, m *Message) []byte {
	var named []byte
	for _, f := range m.Fields {
		if equalFold(f.Name, "Connection") {
			named = append(append(named, f.Value...), ',')
		}
	}
	for _, f := range m.Fields {
		if isHopByHop(f.Name) || listContains(named, f.Name) {
			continue
		}
		b = append(append(b, f.Name...), ": "...)
		b = append(append(b, f.Value...), "\r\n"...)
	}
	return b
}

// isHopByHop reports whether a field must not be forwarded.
func isHopByHop(name []byte) bool {
	for _, field := range hopByHopFields {
		if equalFold(name, field) {
			return true
		}
	}
	return false
}

// listContains reports whether a comma-separated list contains a name, ignoring case.
func listContains(list, name []byte) bool {
	for len(list) > 0 {
		end := 0
		for end < len(list) && list[end] != ',' {
			end++
		}
		item := list[:end]
		for len(item) > 0 && (item[0] == ' ' || item[0] == '\t') {
			item = item[1:]
		}
		for len(item) > 0 && (item[len(item)-1] == ' ' || item[len(item)-1] == '\t') {
			item = item[:len(item)-1]
		}
		if len(item) > 0 && equalFold(item, string(name)) {
			return true
		}
		list = list[min(end+1, len(list)):]
	}
	return false
}
