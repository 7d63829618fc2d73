// Command xds measures over the delta xDS protocol of go-control-plane what BenchmarkPush of package pilot measures
// over the runtime API: the time from a change of one server's weight in a list of 300 until 500 clients have
// acknowledged it, all in this process over loopback.
package main

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	eds "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"github.com/envoyproxy/go-control-plane/pkg/cache/types"
	"github.com/envoyproxy/go-control-plane/pkg/cache/v3"
	"github.com/envoyproxy/go-control-plane/pkg/resource/v3"
	"github.com/envoyproxy/go-control-plane/pkg/server/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

const servers, proxies, rounds = 300, 500, 200

func main() {
	// The linear cache of go-control-plane holds one type of resource for all clients.
	c := cache.NewLinearCache(resource.EndpointType)
	if err := c.UpdateResource("t0", table(1)); err != nil {
		panic(err)
	}
	s := grpc.NewServer(grpc.MaxConcurrentStreams(1000))
	eds.RegisterEndpointDiscoveryServiceServer(s, server.NewServer(context.Background(), c, nil))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go s.Serve(ln)
	var received, bytes atomic.Int64
	for i := range proxies {
		go client(ln.Addr().String(), i, &received, &bytes)
	}
	for received.Load() < proxies {
		time.Sleep(time.Millisecond)
	}
	var latencies []time.Duration
	bytes.Store(0)
	for i := range rounds {
		received.Store(0)
		begin := time.Now()
		if err := c.UpdateResource("t0", table(uint32(i%9+2))); err != nil {
			panic(err)
		}
		for received.Load() < proxies {
			time.Sleep(50 * time.Microsecond)
		}
		latencies = append(latencies, time.Since(begin))
	}
	slices.Sort(latencies)
	fmt.Printf("all of %d clients: p50 %v, p99 %v; %d bytes a change and client\n", proxies,
		latencies[len(latencies)/2], latencies[len(latencies)*99/100], bytes.Load()/rounds/proxies)
}

// table returns an endpoint assignment in which one server has the given weight.
func table(weight uint32) types.Resource {
	l := &endpoint.ClusterLoadAssignment{ClusterName: "t0", Endpoints: []*endpoint.LocalityLbEndpoints{{}}}
	for i := range servers {
		w := uint32(1)
		if i == 7 {
			w = weight
		}
		l.Endpoints[0].LbEndpoints = append(l.Endpoints[0].LbEndpoints, &endpoint.LbEndpoint{
			LoadBalancingWeight: wrapperspb.UInt32(w),
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{
				Address: &core.Address{Address: &core.Address_SocketAddress{
					SocketAddress: &core.SocketAddress{Address: "127.0.0.1",
						PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(10000 + i)}}}}}}})
	}
	return l
}

// client subscribes to the table, acknowledges every version and counts the responses and their bytes.
func client(address string, i int, received, bytes *atomic.Int64) {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		panic(err)
	}
	stream, err := eds.NewEndpointDiscoveryServiceClient(conn).DeltaEndpoints(context.Background())
	if err != nil {
		panic(err)
	}
	req := &discovery.DeltaDiscoveryRequest{Node: &core.Node{Id: fmt.Sprint(i)}, TypeUrl: resource.EndpointType,
		ResourceNamesSubscribe: []string{"t0"}}
	for {
		if err := stream.Send(req); err != nil {
			panic(err)
		}
		r, err := stream.Recv()
		if err != nil {
			panic(err)
		}
		bytes.Add(int64(proto.Size(r)))
		var l endpoint.ClusterLoadAssignment // clients decode each response, as in production
		if err := r.Resources[0].Resource.UnmarshalTo(&l); err != nil {
			panic(err)
		}
		req = &discovery.DeltaDiscoveryRequest{TypeUrl: resource.EndpointType, ResponseNonce: r.Nonce}
		received.Add(1)
	}
}
