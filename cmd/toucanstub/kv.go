package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/integrii/flaggy"

	"toucanhaven/toucankvtest"
)

// kvCommand runs the stand-in for the key-value service until it is ended.
func kvCommand() command {
	address, file := "127.0.0.1:8500", ""
	flags := flaggy.NewSubcommand("kv")
	flags.Description = "stand-in for the key-value service, with faults set at PUT /test/faults"
	flags.String(&address, "a", "address", "address to listen on; port 0 chooses a free port")
	flags.String(&file, "", "address-file", "file to which the address is written")
	return command{sub: flags, run: func() int {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fail(err)
		}
		if file != "" {
			part := file + ".part" // renamed, so that a reader never sees a part of it
			err := errors.Join(os.WriteFile(part, []byte(listener.Addr().String()), 0o644), os.Rename(part, file))
			if err != nil {
				return fail(err)
			}
		}
		fmt.Printf("event=listening address=%s\n", listener.Addr())
		return fail(http.Serve(listener, &toucankvtest.Server{}))
	}}
}
