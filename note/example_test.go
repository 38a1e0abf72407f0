package note_test

import (
	"fmt"

	"bluebellhold/note"
)

func ExampleApply() {
	first, err := note.Parse([]byte(`{"id":"first","add":{"organisations":{"school":{"rate":5,"burst":10}}}}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	configuration, err := note.Apply(note.Configuration{}, first)
	fmt.Println(configuration.Epoch, configuration.Organisations["school"].Rate, err)

	_, err = note.Parse([]byte(`{"id":"second","add":{"organisations":{"school":{"rate":-5,"burst":10}}}}`))
	fmt.Println(err)
	// Output:
	// 1 5 <nil>
	// note: add.organisations.school.rate: is -5, allowed is a finite number above 0
}
