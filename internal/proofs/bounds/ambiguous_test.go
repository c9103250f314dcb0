package bounds

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleusher/orioleusher/internal/framing/framingtest"
)

// Guards against a server of the router process that reads on after a request which another program may delimit differently.
func TestAmbiguousRequestsAreRefusedOnEveryServer(t *testing.T) {
	startRouter(t)
	ip := fmt.Sprintf("127.%d.1.1", block)
	for name, address := range map[string]string{"callers": routerAddress, "ready": ip + ":8081", "peer": ip + ":7080", "admin": ip + ":9080"} {
		for _, tt := range framingtest.Cases("POST / HTTP/1.1\r\nHost: bounds.example\r\n", "GET / HTTP/1.1\r\nHost: bounds.example\r\n\r\n") {
			t.Run(name+" "+tt.Name, func(t *testing.T) {
				is := is.New(t)
				c, err := net.Dial("tcp", address)
				is.NoErr(err)
				defer c.Close()
				is.NoErr(c.SetDeadline(time.Now().Add(soundTimeout)))
				_, err = io.WriteString(c, tt.Request)
				is.NoErr(err)
				br := bufio.NewReader(c)
				resp, err := http.ReadResponse(br, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusBadRequest)
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				_, err = br.ReadByte()
				is.True(err != nil) // nothing follows
			})
		}
	}
}
