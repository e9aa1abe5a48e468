package io.bilberryvalve.policy.path;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.placement.Card;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.bilberryvalve.policy.placement.LayerAssigner;
import io.bilberryvalve.policy.placement.TemplateSearch;
import io.bilberryvalve.policy.placement.TestCards;

/**
 * Runners of a large deployment with the load that a test gives them.
 */
final class PathFleet implements LoadSource {

	/** Number of cards; those of a typical deployment occur two or three times. */
	static final int CARDS = 98;

	private final EngineProfile profile = TestCards.profile();

	private final List<LayerHolder> holders = new ArrayList<>();

	private final Map<RunnerId, LayerHolder> byRunner = new HashMap<>();

	private final Map<RunnerId, RunnerLoad> loads = new HashMap<>();

	PathFleet() {
		List<Card> cards = new ArrayList<>();
		List<Card> typical = TestCards.all();
		for (int i = 0; i < CARDS; i++) {
			Card card = typical.get(i % typical.size());
			RunnerId runner = new RunnerId(card.runner().value() + "-" + i / typical.size());
			cards.add(new Card(runner, card.dataCentre(), card.kind(), null, false));
		}
		LayerAssigner assigner = new LayerAssigner(new TemplateSearch(this.profile, cards).best());
		for (Card card : TestCards.apply(cards, assigner.assign(cards))) {
			LayerRange held = card.held();
			if (held != null) {
				LayerHolder holder = new LayerHolder(card.runner(), held, card.dataCentre(), card.kind(), 1);
				this.holders.add(holder);
				this.byRunner.put(card.runner(), holder);
			}
		}
	}

	EngineProfile profile() {
		return this.profile;
	}

	List<LayerHolder> holders() {
		return this.holders;
	}

	RequestSize typical() {
		return new RequestSize(this.profile.promptTokens(), this.profile.answerTokens());
	}

	DataCentreId dataCentre(RunnerId runner) {
		return this.byRunner.get(runner).dataCentre();
	}

	/**
	 * Returns the fraction of the memory for tokens that is in use.
	 * @param runner identifier of a runner
	 * @return fraction of the memory of its card that its layers leave free
	 */
	double memoryUse(RunnerId runner) {
		LayerHolder holder = this.byRunner.get(runner);
		int held = holder.layers().size();
		return of(runner).tokenLayers() / ((double) this.profile.tokenCapacity(holder.card(), held) * held);
	}

	void add(LayerPath path) {
		change(this.loads, path, 1);
	}

	void remove(LayerPath path) {
		change(this.loads, path, -1);
	}

	/**
	 * Adds or removes a typical request.
	 * @param target loads to change
	 * @param path path of the request
	 * @param sign 1 to add it, -1 to remove it
	 */
	void change(Map<RunnerId, RunnerLoad> target, LayerPath path, int sign) {
		for (int i = 0; i < path.hops().size(); i++) {
			LayerPath.Hop hop = path.hops().get(i);
			long tokenLayers = (long) typical().totalTokens() * hop.layers().size();
			target.merge(hop.runner(), new RunnerLoad(sign, sign * tokenLayers, (i == 0) ? sign : 0, 0),
					RunnerLoad::plus);
			if (i > 0) {
				DataCentreId from = dataCentre(path.hops().get(i - 1).runner());
				DataCentreId to = dataCentre(hop.runner());
				if (!from.equals(to)) {
					target.merge(LoadSource.linkId(from, to), new RunnerLoad(sign, 0, 0, 0), RunnerLoad::plus);
				}
			}
		}
	}

	@Override
	public RunnerLoad of(RunnerId runner) {
		return this.loads.getOrDefault(runner, RunnerLoad.NONE);
	}

}
