// Package silence ends calls whose other side sends nothing for some time, however long a call that goes on may take.
package silence
