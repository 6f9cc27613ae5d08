package crowd

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
)

const (
	devIP        = "127.0.62.10"
	devFirstPort = 21700
	devToken     = "dev-token"
	// nodeMemoryMB is what the control plane may take on a host.
	nodeMemoryMB = 256
	// nodeFDs is the number of descriptors of the platform's control machines.
	nodeFDs = 4096
	// nodeBytes is the largest body of requests and jobs, and nodeMembers a number for
	// which the limit has no room.
	nodeBytes   = 1 << 20
	nodeMembers = 400
	// syncBytes and catalogueBytes are the largest bodies of workers and operators.
	syncBytes        = 4 << 20
	syncMembers      = 100
	catalogueBytes   = 8 << 20
	catalogueMembers = 50
	// silentNodeMembers is above nodeFDs.
	silentNodeMembers = 4500
)

// Listeners of a development cluster, by the distance of their ports from the first.
const (
	callerPort = devFirstPort + iota
	upstreamPort
	platformPort
	operatorPort
	peerPort
	nodeControlPort
	healthPort
)

func startNode(t *testing.T) *Process {
	t.Helper()
	dir := t.TempDir()
	p, err := StartProcess(dir, devIP, nil, builtProgram(nodeProgram), "dev", "--address", devIP, "--first-port", fmt.Sprint(devFirstPort), "--data-folder", filepath.Join(dir, "data"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

// echo sends an ordinary routed request.
func echo() int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address(devIP, callerPort)+"/v1/run/echo/", strings.NewReader("hello"))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+devToken)
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against a host of gooseberryd that runs out of memory for requests that are still
// arriving.
func TestUnfinishedRequestsOfNode(t *testing.T) {
	for _, to := range []struct {
		line           string
		port           int
		bytes, members int
	}{
		{"POST /v1/run/echo/ HTTP/1.1", callerPort, nodeBytes, nodeMembers},
		{"POST /v1/jobs HTTP/1.1", callerPort, nodeBytes, nodeMembers},
		{"POST /v1/workers/w/sync HTTP/1.1", platformPort, syncBytes, syncMembers},
		{"PUT /v1/catalogue HTTP/1.1", operatorPort, catalogueBytes, catalogueMembers},
	} {
		for name, form := range Forms {
			t.Run(strings.Fields(to.line)[1]+" "+name, func(t *testing.T) {
				p := startNode(t)
				play(t, p, bound{nodeMemoryMB, nodeFDs}, Options{
					Address: address(devIP, to.port), Members: to.members, Form: form, Body: padded(`"change_id":"x"`, to.bytes),
					Head: func(n int) string {
						return fmt.Sprintf("%s\r\nHost: %s\r\nAuthorization: Bearer %s\r\nIdempotency-Key: crowd-%d\r\n", to.line, devIP, devToken, n)
					},
				}, echo)
			})
		}
	}
}

// Guards against a host of gooseberryd that runs out of memory for messages on the ports of
// the other hosts.
func TestUnfinishedMessagesOfNode(t *testing.T) {
	for name, port := range map[string]int{"control": nodeControlPort, "peer": peerPort} {
		t.Run(name, func(t *testing.T) {
			p := startNode(t)
			play(t, p, bound{nodeMemoryMB, nodeFDs}, Options{
				Address: address(devIP, port), Members: syncMembers, Form: Raw, Body: message(messageBytes),
			}, echo)
		})
	}
}

// Guards against a host of gooseberryd that answers nobody, or runs out of descriptors,
// for connections on which nothing, or a part of a header, is sent.
func TestSilentConnectionsOfNode(t *testing.T) {
	for name, port := range map[string]int{"caller": callerPort, "upstream": upstreamPort, "platform": platformPort, "operator": operatorPort, "peer": peerPort, "control": nodeControlPort, "health": healthPort} {
		t.Run(name, func(t *testing.T) {
			p := startNode(t)
			play(t, p, bound{nodeMemoryMB, nodeFDs}, Options{
				Address: address(devIP, port), Members: silentNodeMembers, Form: Raw, Body: []byte("GET / HTTP/1.1\r\n"), NoneFinishes: true,
			}, echo)
		})
	}
}
