package rawsocket

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestOf(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	_, ok := Of(l)
	is.True(ok)
	pipe, _ := net.Pipe()
	defer pipe.Close()
	_, ok = Of(pipe)
	is.True(!ok)
	_, ok = Of(&net.TCPConn{})
	is.True(!ok)
}
