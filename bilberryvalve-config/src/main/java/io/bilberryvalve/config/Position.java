package io.bilberryvalve.config;

/**
 * A place in a text.
 *
 * @param line line, from 1
 * @param column column in characters, from 1
 */
public record Position(int line, int column) {

	@Override
	public String toString() {
		return this.line + ":" + this.column;
	}

}
