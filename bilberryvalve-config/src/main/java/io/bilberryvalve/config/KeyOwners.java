package io.bilberryvalve.config;

import java.util.HashMap;
import java.util.Map;

import io.bilberryvalve.model.ApplicationId;

/**
 * What may belong to one club only: key digests, since a key must name one caller or
 * operator, and applications, since their runners do not tell clubs apart.
 */
final class KeyOwners {

	private final Map<String, String> keys = new HashMap<>();

	private final Map<ApplicationId, String> applications = new HashMap<>();

	void key(PartReport report, String path, String digest, String owner) {
		String earlier = this.keys.putIfAbsent(digest, owner);
		if (earlier != null) {
			report.add(path + ".keyDigest", "the key of " + owner + " is also the key of " + earlier,
					"issue a new key to one of them");
		}
	}

	void application(PartReport report, String path, ApplicationId application, String club) {
		String earlier = this.applications.putIfAbsent(application, club);
		if (earlier != null && !earlier.equals(club)) {
			report.add(path, application + " is also an application of club " + earlier,
					"name the application differently and give it runners of its own");
		}
	}

}
