// Command turmericrock is a layer-4 load balancer.
package main

import (
	"context"
	"os"

	"github.com/turmericrock/turmericrock/internal/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args))
}
