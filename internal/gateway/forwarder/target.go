package forwarder

import (
	"bytes"
	"net/http"
	"strings"
)

// getTargetPath returns the path of a request target, byte for byte as the caller sent it. It
// is what routes are matched with: an escaped slash is no slash. It is empty if the target has
// none, as in OPTIONS * and CONNECT.
func getTargetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	_, rest, ok := strings.Cut(path, "://")
	if i := strings.IndexByte(rest, '/'); ok && i >= 0 {
		return rest[i:]
	}
	return ""
}

// appendRequest appends a request whose request line has the target of the caller's, byte for
// byte. Package net/url would change some targets, such as one that begins with two slashes.
func appendRequest(buf *bytes.Buffer, req *http.Request, target string) error {
	var encoded bytes.Buffer
	if err := req.Write(&encoded); err != nil {
		return err
	}
	// The first line is of another target.
	_, rest, _ := bytes.Cut(encoded.Bytes(), []byte("\r\n"))
	for _, s := range []string{req.Method, " ", target, " HTTP/1.1\r\n"} {
		buf.WriteString(s)
	}
	buf.Write(rest)
	return nil
}
