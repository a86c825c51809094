Feature: Each caller receives the whole answer to its own request

  Scenario Outline: A stream goes on where an engine left off
    Given a deployment whose engines and links can fail
    When a caller of <entry> streams <tokens> tokens while <failure>
    Then each token arrives once, in order, in one whole answer
    And the request was started <runs> times

    Examples:
      | entry          | tokens | failure                              | runs |
      | west-gateway-1 | 40     | nothing fails                        | 1    |
      | west-gateway-1 | 60     | its connections break once           | 2    |
      | west-gateway-1 | 60     | its connections break twice          | 3    |
      | west-gateway-1 | 60     | the engine that runs it freezes      | 2    |
      | east-gateway-1 | 60     | the engine that runs it freezes      | 2    |
      | east-gateway-1 | 60     | its connections break once           | 2    |

  Scenario Outline: An answer that names another request is not handed out
    Given a deployment whose engines and links can fail
    When the next <faulty> answers name another request, and 24 callers ask at <entry>
    Then each of them received its own whole answer
    And the engines were asked <faulty> times more than callers asked

    Examples:
      | faulty | entry          |
      | 3      | west-gateway-1 |
      | 3      | east-gateway-1 |

  Scenario: A stream that can't go on ends visibly
    Given a deployment whose engines and links can fail
    When a caller streams and every engine breaks off again and again
    Then the answer ends with an error event and without its end

  Scenario Outline: A late answer reaches nobody
    Given a deployment whose engines and links can fail
    When the engine that runs a <kind> completion freezes past its time-out
    And it thaws while 40 other callers are served
    Then each of them received its own whole answer

    Examples:
      | kind     |
      | whole    |
      | streamed |

  Scenario Outline: A cancelled call is cancelled at its engine
    Given a deployment whose engines and links can fail
    When a caller of <entry> leaves in the middle of its answer
    Then its engine has stopped that run early

    Examples:
      | entry          |
      | west-gateway-1 |
      | east-gateway-1 |

  Scenario: 1,000 distinct requests at once
    Given a deployment whose engines and links can fail
    When 1000 distinct requests are sent at once, half of them streamed
    # Those that are refused as not run are sent again.
    Then each of them received its own whole answer
