package rig;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON objects into maps, lists, texts, numbers and truth values. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> parse(String text) {
		return (Map<String, Object>) new Json(text).value();
	}

	static String quote(String text) {
		return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
	}

	private char next() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
		return this.text.charAt(this.at);
	}

	private Object value() {
		char c = next();
		if (c == '{') {
			Map<String, Object> map = new LinkedHashMap<>();
			for (this.at++; next() != '}'; skip(',')) {
				String name = (String) value();
				next();
				skip(':');
				map.put(name, value());
				next();
			}
			this.at++;
			return map;
		}
		if (c == '[') {
			List<Object> list = new ArrayList<>();
			for (this.at++; next() != ']'; skip(',')) {
				list.add(value());
				next();
			}
			this.at++;
			return list;
		}
		return (c == '"') ? string() : word();
	}

	private void skip(char c) {
		if (this.text.charAt(this.at) == c) {
			this.at++;
		}
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		for (this.at++; this.text.charAt(this.at) != '"'; this.at++) {
			char c = this.text.charAt(this.at);
			if (c == '\\') {
				c = this.text.charAt(++this.at);
				if (c == 'u') {
					c = (char) Integer.parseInt(this.text.substring(this.at + 1, this.at + 5), 16);
					this.at += 4;
				}
				else {
					c = (c == 'n') ? '\n' : c;
				}
			}
			out.append(c);
		}
		this.at++;
		return out.toString();
	}

	private Object word() {
		int start = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		if (word.equals("true") || word.equals("false")) {
			return Boolean.valueOf(word);
		}
		if (word.equals("null")) {
			return null;
		}
		return (word.indexOf('.') < 0 && word.indexOf('e') < 0) ? (Number) Long.valueOf(word)
				: (Number) Double.valueOf(word);
	}

}
