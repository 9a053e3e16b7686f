package toucancall

import "strings"

// IsHopByHop reports whether a header field must not be forwarded, because it
// applies to one connection only: the fields that RFC 9110 section 7.6.1 names,
// those that the Connection field lists, and those that frame the message. key is
// in canonical form, and connection holds the values of the Connection field.
func IsHopByHop(key string, connection []string) bool {
	switch key {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host":
		return true
	}
	for _, value := range connection {
		for name := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(name), key) {
				return true
			}
		}
	}
	return false
}
