package transport_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// A connection to an endpoint that leaves was kept and used for the next request.
func TestConnectionOfAnEndpointThatLeavesIsNotKept(t *testing.T) {
	s := sitetest.NewStating(nil)
	e := sitetest.NewEndpoint(t, "e", s.Serve)
	pool := transport.NewPool()
	dials := 0
	pool.OnDial = func() { dials++ }
	get := func(id string) {
		header := http.Header{}
		site.RunHeaders{EndpointID: "e", Priority: -1}.Apply(header)
		site.SetRequestID(header, id)
		response, err := pool.Send(t.Context(), e.Address, transport.Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: header})
		require.NoError(t, err)
		_, err = response.Read(make([]byte, 64))
		for err == nil {
			_, err = response.Read(make([]byte, 64))
		}
		response.Close()
	}
	get("a")
	get("b")
	require.Equal(t, 1, dials)
	s.SetLeaving(true)
	get("c")
	get("d")
	require.Equal(t, 2, dials)
}

// What an endpoint said in an answer to another request on the connection was discarded
// with that answer.
func TestAnswerToAnotherRequestIsObserved(t *testing.T) {
	address := sitetest.NewRawEndpoint(t, func(id string) string {
		other := "HTTP/1.1 200 OK\r\n" + sitetest.HeaderRequestID + ": other\r\n" + sitetest.HeaderLeaving + ": 1\r\nContent-Length: 2\r\n\r\nno"
		return other + "HTTP/1.1 200 OK\r\n" + sitetest.HeaderRequestID + ": " + id + "\r\nContent-Length: 2\r\n\r\nok"
	})
	header := http.Header{}
	site.SetRequestID(header, "mine")
	var leaving []bool
	response, err := transport.NewPool().Send(t.Context(), address, transport.Request{
		ID: "mine", Method: http.MethodGet, Target: "/", Host: "h", Header: header,
		OnAnswer: func(answer site.EndpointResponse) { leaving = append(leaving, answer.Leaving) },
	})
	require.NoError(t, err)
	response.Close()
	require.Equal(t, []bool{true, false}, leaving)
}

// What an endpoint said in an interim answer was discarded.
func TestInterimAnswerIsObserved(t *testing.T) {
	address := sitetest.NewRawEndpoint(t, func(id string) string {
		interim := "HTTP/1.1 103 Early Hints\r\n" + sitetest.HeaderLeaving + ": 1\r\n\r\n"
		return interim + responseHead(id, "Content-Length: 2\r\n\r\nok")
	})
	var leaving []bool
	request := newRequest("mine")
	request.OnAnswer = func(answer site.EndpointResponse) { leaving = append(leaving, answer.Leaving) }
	response, err := transport.NewPool().Send(t.Context(), address, request)
	require.NoError(t, err)
	response.Close()
	require.Equal(t, []bool{true, false}, leaving)
}
