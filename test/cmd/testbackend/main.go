// Command testbackend runs a small backend server for tests and the demo.
package main

import (
	"flag"
	"log"
	"net/http"
	"time"

	"github.com/tideliftd/tidelift/test/backendserver"
)

const headerTimeout = 10 * time.Second

func main() {
	work := flag.String("work", "127.0.0.1:0", "address to listen on for requests")
	control := flag.String("control", "127.0.0.1:0", "address to listen on for control calls")
	flag.Parse()
	b := backendserver.New()
	go serve(*control, b.ControlHandler())
	serve(*work, b.RequestHandler())
}

func serve(address string, handler http.Handler) {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout}
	log.Fatal(server.ListenAndServe())
}
