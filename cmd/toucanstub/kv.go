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

// kvCommand runs the stand-in for the key-value service until the process is killed.
func kvCommand() command {
	address, file := "127.0.0.1:8500", ""
	flags := flaggy.NewSubcommand("kv")
	flags.Description = "stand-in for the key-value service, with faults set at PUT /test/faults"
	flags.String(&address, "a", "address", "address to listen on; port 0 chooses a free port")
	flags.String(&file, "", "address-file", "file to which the address is written")
	return command{flags: flags, run: func() int {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fail(err)
		}
		if file != "" {
			temporary := file + ".part" // renamed afterwards, so a reader never sees a partial file
			err := errors.Join(os.WriteFile(temporary, []byte(listener.Addr().String()), 0o644), os.Rename(temporary, file))
			if err != nil {
				return fail(err)
			}
		}
		fmt.Printf("event=listening address=%s\n", listener.Addr())
		return fail(http.Serve(listener, &toucankvtest.Server{}))
	}}
}
