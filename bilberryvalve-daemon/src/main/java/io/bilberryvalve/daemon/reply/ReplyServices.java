package io.bilberryvalve.daemon.reply;

import java.time.Clock;

import io.bilberryvalve.daemon.engine.EngineClient;
import io.bilberryvalve.daemon.runner.ChainRouter;
import io.bilberryvalve.daemon.share.AdmissionControl;

/**
 * Collaborators and settings that replies use.
 *
 * @param clock clock for deadlines and other time limits
 * @param engines client of the engines
 * @param chains chooses and repairs chains
 * @param admission decides when a reply may start
 * @param budget limits repairs
 * @param settings limits of replies
 */
public record ReplyServices(Clock clock, EngineClient engines, ChainRouter chains, AdmissionControl admission,
		RepairBudget budget, ReplySettings settings) {

}
