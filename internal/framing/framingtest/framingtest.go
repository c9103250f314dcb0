// Package framingtest lists ambiguous requests for the tests of servers.
package framingtest

import "github.com/orioleusher/orioleusher/internal/framing"

// Case is a request that two readers may delimit in different ways.
type Case struct {
	Name    string
	Request string
	Reason  framing.Reason
}

// Cases returns ambiguous requests. The head is a request line and fields of a sound POST request of HTTP/1.1, without the empty
// line at its end. What follows a request is a second one for a reader that delimits it differently.
func Cases(head, smuggled string) []Case {
	chunks := "0\r\n\r\n" + smuggled
	return []Case{
		{"length beside encoding", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, framing.BothLengths},
		{"encoding beside length", head + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n" + chunks, framing.BothLengths},
		{"names in other case", head + "content-length: 5\r\nTRANSFER-ENCODING: Chunked\r\n\r\n" + chunks, framing.BothLengths},
		{"two lengths", head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + smuggled, framing.DifferentLengths},
		{"list of lengths", head + "Content-Length: 0, 5\r\n\r\n" + smuggled, framing.BadLength},
		{"length with a sign", head + "Content-Length: +5\r\n\r\nhello" + smuggled, framing.BadLength},
		{"negative length", head + "Content-Length: -5\r\n\r\n" + smuggled, framing.BadLength},
		{"hexadecimal length", head + "Content-Length: 0x5\r\n\r\nhello" + smuggled, framing.BadLength},
		{"empty length", head + "Content-Length:\r\n\r\n" + smuggled, framing.BadLength},
		{"length beyond 63 bits", head + "Content-Length: 18446744073709551616\r\n\r\n" + smuggled, framing.BadLength},
		{"unknown encoding", head + "Transfer-Encoding: odd\r\n\r\n" + chunks, framing.TransferEncoding},
		{"encoding before chunks", head + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks, framing.TransferEncoding},
		{"chunks twice", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, framing.TransferEncoding},
		{"identity after chunks", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n" + chunks, framing.TransferEncoding},
		{"vertical tab before encoding", head + "Transfer-Encoding: \vchunked\r\n\r\n" + chunks, framing.TransferEncoding},
		{"folded line", head + "X-Long: a\r\n b\r\n\r\n" + smuggled, framing.FoldedLine},
		{"folded encoding", head + "Transfer-Encoding:\r\n chunked\r\n\r\n" + chunks, framing.TransferEncoding},
		{"space before the first field", "POST / HTTP/1.1\r\n Host: x\r\n\r\n" + smuggled, framing.FoldedLine},
		{"line feed alone", head + "X-A: a\nContent-Length: 5\r\n\r\nhello" + smuggled, framing.LineEnd},
		{"carriage return alone", head + "X-A: a\rContent-Length: 5\r\n\r\n" + smuggled, framing.LineEnd},
		{"line feed at the end of the head", head + "\n" + smuggled, framing.LineEnd},
		{"space before the colon", head + "Content-Length : 5\r\n\r\nhello" + smuggled, framing.FieldName},
		{"tab before the colon", head + "Transfer-Encoding\t: chunked\r\n\r\n" + chunks, framing.FieldName},
		{"no name", head + ": 5\r\n\r\n" + smuggled, framing.FieldName},
		{"no colon", head + "Content-Length\r\n\r\n" + smuggled, framing.FieldName},
	}
}
