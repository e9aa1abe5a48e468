package io.bilberryvalve.daemon.reply;

import io.bilberryvalve.model.PipelineId;
import org.jspecify.annotations.Nullable;

/**
 * Body of a completion request.
 *
 * @param pipeline the pipeline
 * @param prompt the prompt, not empty
 * @param maxTokens largest reply in tokens, or {@code null} for the largest of the
 * pipeline
 * @param priority priority from -10 (low) to 10 (high)
 */
record CompletionRequest(PipelineId pipeline, String prompt, @Nullable Integer maxTokens, int priority) {

}
