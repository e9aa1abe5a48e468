package io.bilberryvalve.daemon.reply;

import java.time.Clock;

import io.bilberryvalve.daemon.engine.EngineClient;
import io.bilberryvalve.daemon.runner.ChainRouter;
import io.bilberryvalve.daemon.share.AdmissionControl;

/**
 * What replies need from the rest of the daemon.
 *
 * @param clock the clock
 * @param engines client of the engines
 * @param chains chooses chains
 * @param admission decides when a reply may start
 * @param budget limits repairs
 * @param settings limits of replies
 */
public record ReplyServices(Clock clock, EngineClient engines, ChainRouter chains, AdmissionControl admission,
		RepairBudget budget, ReplySettings settings) {

}
