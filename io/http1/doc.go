// Package http1 judges the heads and trailers of HTTP/1 answers by their bytes, before a library parses them: what RFC 9110 and RFC 9112
// don't allow is no answer, whatever the library lets pass or corrects.
package http1
